package bitternpulley.config;

import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Reads the terms of a contract for each query class that its team may use. */
final class ClassTermsReader {
  private final BrokerScript script;
  private final Optional<Settings> settings;

  ClassTermsReader(BrokerScript script, Optional<Settings> settings) {
    this.script = script;
    this.settings = settings;
  }

  /**
   * Returns the terms of each class by the position of the class in the settings.
   *
   * <p>Without settings, the keys are the positions in the contract. Missing terms are then NaN,
   * because only the site has their defaults; a missing priority weight is 1.
   */
  Map<Integer, Router.ClassTerms> read(JsonNode classes, String pointer) {
    Map<Integer, Router.ClassTerms> termsByClass = new LinkedHashMap<>();
    Iterator<Map.Entry<String, JsonNode>> fields = classes.fields();
    while (fields.hasNext()) {
      Map.Entry<String, JsonNode> field = fields.next();
      if (settings.isPresent()) {
        String classPointer = pointer + "/" + field.getKey();
        int position = SiteClasses.position(settings.get(), field.getKey(), script, classPointer);
        Settings.QueryClass site = settings.get().classes().get(position);
        termsByClass.put(position, terms(field.getValue(), site, classPointer));
      } else {
        termsByClass.put(termsByClass.size(), uncheckedTerms(field.getValue()));
      }
    }
    return termsByClass;
  }

  private static Router.ClassTerms uncheckedTerms(JsonNode terms) {
    return new Router.ClassTerms(
        terms.path("wanted_ms").asDouble(Double.NaN),
        terms.path("give_up_ms").asDouble(Double.NaN),
        terms.path("least_share").asDouble(Double.NaN),
        terms.path("worth").asDouble(1));
  }

  /** Returns the terms of a class, which may be stricter than those of the site but not laxer. */
  private Router.ClassTerms terms(JsonNode terms, Settings.QueryClass site, String pointer) {
    double latencyObjective = terms.path("wanted_ms").asDouble(site.latencyObjective());
    if (latencyObjective > site.latencyObjective()) {
      throw script.error(pointer + "/wanted_ms", "is past the site's " + site.latencyObjective());
    }
    double deadline = terms.path("give_up_ms").asDouble(site.deadline());
    if (deadline > site.deadline()) {
      throw script.error(pointer + "/give_up_ms", "is past the site's " + site.deadline());
    }
    if (deadline < latencyObjective) {
      throw script.error(
          pointer + "/give_up_ms", "is before the wanted time of " + latencyObjective);
    }
    double minimumShare = terms.path("least_share").asDouble(site.minimumShare());
    if (minimumShare < site.minimumShare()) {
      throw script.error(
          pointer + "/least_share", "is laxer than the site's " + site.minimumShare());
    }
    return new Router.ClassTerms(
        latencyObjective,
        deadline,
        minimumShare,
        terms.path("worth").asDouble(site.priorityWeight()));
  }
}
