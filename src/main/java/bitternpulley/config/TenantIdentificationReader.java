package bitternpulley.config;

import bitternpulley.contracts.ApiKey;
import bitternpulley.contracts.TenantIdentification;
import bitternpulley.routing.Settings;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;

/**
 * Reads how requests are attributed to the teams of contracts. Each API key id, index and platform
 * class may be listed only once among all contracts.
 */
final class TenantIdentificationReader {
  private final BrokerScript script;
  private final Optional<Settings> settings;
  private final Map<String, ApiKey> apiKeysById = new HashMap<>();
  private final Map<String, String> teamByIndex = new HashMap<>();
  private final Map<String, String> teamByPlatformClass = new HashMap<>();
  private final Map<Integer, String> teamByClass = new HashMap<>();
  private boolean hasContracts;
  private String defaultTeam;

  TenantIdentificationReader(BrokerScript script, Optional<Settings> settings) {
    this.script = script;
    this.settings = settings;
  }

  /** The team whose contract applies to requests for which no team is identified. */
  Optional<String> defaultTeam() {
    return Optional.ofNullable(defaultTeam);
  }

  /** Returns how the teams of all added contracts are identified. */
  TenantIdentification identification() {
    return hasContracts
        ? new TenantIdentification(apiKeysById, teamByIndex, teamByClass, defaultTeam != null)
        : TenantIdentification.NONE;
  }

  /** Adds a team with its contract, which is at a JSON pointer of the document. */
  void add(String team, JsonNode contract, String pointer) {
    hasContracts = true;
    addDefault(team, contract, pointer);
    addKeys(team, contract.path("keys"), pointer + "/keys");
    addIndices(team, contract.path("indices"), pointer + "/indices");
    addPlatformClasses(team, contract, pointer + "/platform");
  }

  private void addDefault(String team, JsonNode contract, String pointer) {
    if (!contract.path("default").asBoolean(false)) {
      return;
    }
    if (defaultTeam != null) {
      throw script.error(pointer + "/default", "is already set by contract " + defaultTeam);
    }
    defaultTeam = team;
  }

  private void addKeys(String team, JsonNode entries, String pointer) {
    int position = 0;
    for (JsonNode key : entries) {
      byte[] salt = HexFormat.of().parseHex(key.get("salt").textValue());
      byte[] hash = HexFormat.of().parseHex(key.get("sha256").textValue());
      String idPointer = pointer + "/" + position + "/id";
      putUnique(apiKeysById, key.get("id").textValue(), new ApiKey(team, salt, hash), idPointer);
      position++;
    }
  }

  private void addIndices(String team, JsonNode entries, String pointer) {
    JsonNode knownIndices = script.document().path("opensearch").path("indices");
    int position = 0;
    for (JsonNode entry : entries) {
      String index = entry.textValue();
      String indexPointer = pointer + "/" + position;
      if (!knownIndices.has(index)) {
        throw script.error(indexPointer, "is not an index of opensearch(): " + index);
      }
      putUnique(teamByIndex, index, team, indexPointer);
      position++;
    }
  }

  private void addPlatformClasses(String team, JsonNode contract, String pointer) {
    int position = 0;
    for (JsonNode entry : contract.path("platform")) {
      String name = entry.textValue();
      String classPointer = pointer + "/" + position;
      putUnique(teamByPlatformClass, name, team, classPointer);
      if (!contract.get("classes").has(name)) {
        throw script.error(classPointer, "is not a query class of this contract: " + name);
      }
      settings.ifPresent(
          site -> teamByClass.put(SiteClasses.position(site, name, script, pointer), team));
      position++;
    }
  }

  private <V> void putUnique(Map<String, V> owners, String name, V owner, String pointer) {
    if (owners.putIfAbsent(name, owner) != null) {
      throw script.error(
          pointer, "must be unique among all contracts, but is listed twice: " + name);
    }
  }
}
