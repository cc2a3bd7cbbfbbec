package bitternpulley.config;

import bitternpulley.contracts.Contract;
import bitternpulley.contracts.ContractSet;
import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Reads the contracts of a document that conforms to the schema, and makes the checks that a schema
 * cannot express. docs/contracts.md lists the keys and their defaults.
 */
final class ContractsReader {
  /** Enough for one large query. */
  private static final double DEFAULT_BURST_MS = 500;

  private static final double DEFAULT_RETRIES_PER_PART = 0.2;
  private static final double DEFAULT_CLIENT_RETRIES = 0.5;

  /** Quotas that add up to one may have a slightly larger sum because of rounding. */
  private static final double ROUNDING_TOLERANCE = 1e-9;

  private final BrokerScript script;
  private final Optional<Settings> settings;
  private final TenantIdentificationReader tenants;
  private final ClassTermsReader classTerms;
  private final Map<String, Contract> contracts = new LinkedHashMap<>();
  private double guaranteedQuotaSum;

  /**
   * Creates a reader of one script.
   *
   * @param script the evaluated script
   * @param settings the settings of the site, if the contracts are checked against a site
   * @param tenants reads how the teams of the contracts are identified
   */
  ContractsReader(
      BrokerScript script, Optional<Settings> settings, TenantIdentificationReader tenants) {
    this.script = script;
    this.settings = settings;
    this.tenants = tenants;
    this.classTerms = new ClassTermsReader(script, settings);
  }

  /** Reads all contracts, as version 1. */
  ContractSet read() {
    for (JsonNode entry : script.document().path("contracts")) {
      String pointer = "/contracts/" + contracts.size();
      Contract contract = contract(entry, pointer);
      contracts.put(contract.id(), contract);
      tenants.add(contract.id(), entry, pointer);
    }
    return new ContractSet(1, contracts, tenants.defaultTeam().orElse(null));
  }

  private Contract contract(JsonNode contract, String pointer) {
    String id = id(contract, pointer);
    double guaranteedQuota = guaranteedQuota(contract, pointer);
    double ceiling = ceiling(contract, guaranteedQuota, pointer);
    Map<Integer, Router.ClassTerms> classes =
        classTerms.read(contract.get("classes"), pointer + "/classes");
    return new Contract(
        id,
        guaranteedQuota,
        ceiling,
        contract.path("burst_ms").asDouble(DEFAULT_BURST_MS),
        contract.path("borrow").asBoolean(true),
        contract.path("lend").asBoolean(true),
        contract.path("further_attempts").asDouble(DEFAULT_RETRIES_PER_PART),
        contract.path("client_retries").asDouble(DEFAULT_CLIENT_RETRIES),
        maxPending(contract, pointer),
        classes);
  }

  private String id(JsonNode contract, String pointer) {
    String id = contract.get("id").textValue();
    if (contracts.containsKey(id)) {
      throw script.error(pointer + "/id", "is already the id of another contract: " + id);
    }
    return id;
  }

  private double guaranteedQuota(JsonNode contract, String pointer) {
    double quota = contract.get("share").doubleValue();
    guaranteedQuotaSum += quota;
    if (guaranteedQuotaSum > 1 + ROUNDING_TOLERANCE) {
      throw script.error(
          pointer + "/share",
          "raises the sum of the shares to " + guaranteedQuotaSum + ", which is more than 1");
    }
    return quota;
  }

  private double ceiling(JsonNode contract, double guaranteedQuota, String pointer) {
    double ceiling = contract.path("ceiling").asDouble(1);
    if (ceiling < guaranteedQuota) {
      throw script.error(pointer + "/ceiling", "is below the share of " + guaranteedQuota);
    }
    return ceiling;
  }

  private int maxPending(JsonNode contract, String pointer) {
    int siteLimit = settings.map(site -> site.limits().maxPending()).orElse(Integer.MAX_VALUE);
    int maxPending = contract.path("holds").asInt(siteLimit);
    if (maxPending > siteLimit) {
      throw script.error(pointer + "/holds", "exceeds the site's limit of " + siteLimit);
    }
    return maxPending;
  }
}
