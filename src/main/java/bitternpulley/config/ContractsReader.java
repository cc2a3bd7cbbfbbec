package bitternpulley.config;

import bitternpulley.contracts.ApiKey;
import bitternpulley.contracts.Contract;
import bitternpulley.contracts.ContractBook;
import bitternpulley.contracts.TenantIdentification;
import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Contracts of a document that the schema has passed, with the checks that a schema cannot make.
 */
final class ContractsReader {
  /**
   * Defaults, which docs/contracts.md lists: a burst long enough for one stock report, budgets that
   * calm days stay under.
   */
  private static final double BURST = 500;

  private static final double FURTHER_ATTEMPTS = 0.2;
  private static final double CLIENT_RETRIES = 0.5;

  /** Sums of shares may pass one by rounding. */
  private static final double ROUNDING = 1e-9;

  private final BrokerScript script;
  private final Optional<Settings> settings;
  private final Map<String, Contract> contracts = new LinkedHashMap<>();
  private final Map<String, ApiKey> keys = new HashMap<>();
  private final Map<String, String> byIndex = new HashMap<>();
  private final Map<String, String> byPlatform = new HashMap<>();
  private final Map<Integer, String> byClass = new HashMap<>();
  private double shares;
  private String fallback;

  private ContractsReader(BrokerScript script, Optional<Settings> settings) {
    this.script = script;
    this.settings = settings;
  }

  static BrokerConfiguration read(BrokerScript script, Optional<Settings> settings) {
    ContractsReader reader = new ContractsReader(script, settings);
    JsonNode document = script.document();
    JsonNode all = document.path("contracts");
    for (int i = 0; i < all.size(); i++) {
      reader.contract(all.get(i), "/contracts/" + i);
    }
    TenantIdentification recognition =
        reader.contracts.isEmpty()
            ? TenantIdentification.NONE
            : new TenantIdentification(
                reader.keys, reader.byIndex, reader.byClass, reader.fallback != null);
    return new BrokerConfiguration(
        new ContractBook(1, reader.contracts, reader.fallback),
        recognition,
        Optional.ofNullable(document.get("opensearch")),
        document.path("accounts").path("list").asBoolean(false),
        MembershipReader.read(script),
        document,
        script.printed());
  }

  private void contract(JsonNode in, String at) {
    String id = in.get("id").textValue();
    if (contracts.containsKey(id)) {
      throw script.fault(at + "/id", "is that of another contract: " + id);
    }
    double share = in.get("share").doubleValue();
    shares += share;
    if (shares > 1 + ROUNDING) {
      throw script.fault(
          at + "/share",
          "brings the shares together to " + shares + ", which is more than there is");
    }
    double ceiling = in.path("ceiling").asDouble(1);
    if (ceiling < share) {
      throw script.fault(at + "/ceiling", "is below the share of " + share);
    }
    Map<Integer, Router.ClassTerms> classes = classes(in.get("classes"), at + "/classes");
    int places = settings.map(s -> s.limits().maxPending()).orElse(Integer.MAX_VALUE);
    int holds = in.path("holds").asInt(places);
    if (holds > places) {
      throw script.fault(at + "/holds", "is more than the site's " + places);
    }
    contracts.put(
        id,
        new Contract(
            id,
            share,
            ceiling,
            in.path("burst_ms").asDouble(BURST),
            in.path("borrow").asBoolean(true),
            in.path("lend").asBoolean(true),
            in.path("further_attempts").asDouble(FURTHER_ATTEMPTS),
            in.path("client_retries").asDouble(CLIENT_RETRIES),
            holds,
            classes));
    recognised(in, id, at);
  }

  private void recognised(JsonNode in, String id, String at) {
    if (in.path("default").asBoolean(false)) {
      if (fallback != null) {
        throw script.fault(at + "/default", "is that of another contract: " + fallback);
      }
      fallback = id;
    }
    for (int i = 0; i < in.path("keys").size(); i++) {
      JsonNode key = in.get("keys").get(i);
      byte[] salt = HexFormat.of().parseHex(key.get("salt").textValue());
      byte[] hash = HexFormat.of().parseHex(key.get("sha256").textValue());
      claim(keys, key.get("id").textValue(), new ApiKey(id, salt, hash), at + "/keys/" + i + "/id");
    }
    for (int i = 0; i < in.path("indices").size(); i++) {
      String index = in.get("indices").get(i).textValue();
      if (!script.document().path("opensearch").path("indices").has(index)) {
        throw script.fault(at + "/indices/" + i, "names no index of opensearch(): " + index);
      }
      claim(byIndex, index, id, at + "/indices/" + i);
    }
    for (int i = 0; i < in.path("platform").size(); i++) {
      String name = in.get("platform").get(i).textValue();
      claim(byPlatform, name, id, at + "/platform/" + i);
      if (!in.get("classes").has(name)) {
        throw script.fault(at + "/platform/" + i, "is no class of this contract: " + name);
      }
      settings.ifPresent(s -> byClass.put(position(s, name, at + "/platform"), id));
    }
  }

  private <V> void claim(Map<String, V> by, String what, V owner, String at) {
    if (by.putIfAbsent(what, owner) != null) {
      throw script.fault(at, "is claimed by another contract as well: " + what);
    }
  }

  private Map<Integer, Router.ClassTerms> classes(JsonNode in, String at) {
    Map<Integer, Router.ClassTerms> classes = new LinkedHashMap<>();
    in.fields()
        .forEachRemaining(
            e -> {
              String here = at + "/" + e.getKey();
              if (settings.isPresent()) {
                int position = position(settings.get(), e.getKey(), here);
                classes.put(
                    position, terms(e.getValue(), settings.get().classes().get(position), here));
              } else {
                JsonNode t = e.getValue();
                classes.put(
                    classes.size(),
                    new Router.ClassTerms(
                        t.path("wanted_ms").asDouble(Double.NaN),
                        t.path("give_up_ms").asDouble(Double.NaN),
                        t.path("least_share").asDouble(Double.NaN),
                        t.path("worth").asDouble(1)));
              }
            });
    return classes;
  }

  private int position(Settings of, String name, String at) {
    for (int i = 0; i < of.classes().size(); i++) {
      if (of.classes().get(i).name().equals(name)) {
        return i;
      }
    }
    throw script.fault(at, "is no class of the site");
  }

  /** A contract may want more of its class than the site does, never less. */
  private Router.ClassTerms terms(JsonNode in, Settings.QueryClass site, String at) {
    double wanted = in.path("wanted_ms").asDouble(site.latencyObjective());
    if (wanted > site.latencyObjective()) {
      throw script.fault(at + "/wanted_ms", "is past the site's " + site.latencyObjective());
    }
    double giveUp = in.path("give_up_ms").asDouble(site.deadline());
    if (giveUp > site.deadline()) {
      throw script.fault(at + "/give_up_ms", "is past the site's " + site.deadline());
    }
    if (giveUp < wanted) {
      throw script.fault(at + "/give_up_ms", "is before the wanted time of " + wanted);
    }
    double least = in.path("least_share").asDouble(site.minimumShare());
    if (least < site.minimumShare()) {
      throw script.fault(at + "/least_share", "is laxer than the site's " + site.minimumShare());
    }
    return new Router.ClassTerms(
        wanted, giveUp, least, in.path("worth").asDouble(site.priorityWeight()));
  }
}
