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
   * <p>Without settings, the keys are the positions of the classes in the contract. Missing terms
   * are then NaN, because their defaults are in the settings; a missing priority weight is 1.
   */
  Map<Integer, Router.ClassTerms> read(JsonNode classes, String pointer) {
    Map<Integer, Router.ClassTerms> termsByClass = new LinkedHashMap<>();
    Iterator<Map.Entry<String, JsonNode>> fields = classes.fields();
    while (fields.hasNext()) {
      Map.Entry<String, JsonNode> field = fields.next();
      if (settings.isPresent()) {
        String classPointer = pointer + "/" + field.getKey();
        int position = SiteClasses.position(settings.get(), field.getKey(), script, classPointer);
        Settings.QueryClass siteClass = settings.get().classes().get(position);
        termsByClass.put(position, terms(field.getValue(), siteClass, classPointer));
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

  /**
   * Returns the terms of a class. All of them except the priority weight must be at least as strict
   * as those in the settings of the site.
   */
  private Router.ClassTerms terms(JsonNode terms, Settings.QueryClass siteClass, String pointer) {
    double latencyObjective = terms.path("wanted_ms").asDouble(siteClass.latencyObjective());
    if (latencyObjective > siteClass.latencyObjective()) {
      throw script.error(
          pointer + "/wanted_ms",
          "exceeds the site's latency objective of " + siteClass.latencyObjective());
    }
    double deadline = terms.path("give_up_ms").asDouble(siteClass.deadline());
    if (deadline > siteClass.deadline()) {
      throw script.error(
          pointer + "/give_up_ms", "exceeds the site's deadline of " + siteClass.deadline());
    }
    if (deadline < latencyObjective) {
      throw script.error(
          pointer + "/give_up_ms", "is below 'wanted_ms', which is " + latencyObjective);
    }
    double minimumShare = terms.path("least_share").asDouble(siteClass.minimumShare());
    if (minimumShare < siteClass.minimumShare()) {
      throw script.error(
          pointer + "/least_share",
          "is below the site's minimum share of " + siteClass.minimumShare());
    }
    return new Router.ClassTerms(
        latencyObjective,
        deadline,
        minimumShare,
        terms.path("worth").asDouble(siteClass.priorityWeight()));
  }
}
