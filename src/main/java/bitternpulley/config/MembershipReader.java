package bitternpulley.config;

import bitternpulley.membership.MembershipSettings;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Reads {@code membership()} and {@code leases()} of the operators' script. */
final class MembershipReader {
  private static final double DEFAULT_LEASE_SECONDS = 10;
  private static final double MS_PER_SECOND = 1000;

  /** Number of timeouts after which a probe of a member has failed. */
  private static final int TIMEOUTS_PER_PROBE = 3;

  private MembershipReader() {}

  /** Returns empty if the script does not configure membership or disables it. */
  static Optional<MembershipConfiguration> read(BrokerScript script) {
    Optional<LeaseConfiguration> leases = leases(script.document().path("leases"));
    JsonNode membership = script.document().path("membership");
    if (isDisabled(membership)) {
      if (leases.isPresent()) {
        throw script.error("/leases", "needs membership()");
      }
      return Optional.empty();
    }
    return Optional.of(
        new MembershipConfiguration(
            settings(script, membership),
            membership.path("region").asText(""),
            membership.path("deployment").asText(""),
            leases));
  }

  private static boolean isDisabled(JsonNode section) {
    return section.isMissingNode() || !section.path("on").asBoolean(true);
  }

  private static MembershipSettings settings(BrokerScript script, JsonNode membership) {
    MembershipSettings defaults = MembershipSettings.DEFAULT;
    double interval = membership.path("interval_ms").asDouble(defaults.interval());
    double timeout = membership.path("timeout_ms").asDouble(defaults.timeout());
    if (TIMEOUTS_PER_PROBE * timeout > interval) {
      throw script.error(
          "/membership/timeout_ms", "is more than a third of 'interval_ms', which is " + interval);
    }
    double majorityTimeoutSeconds =
        membership.path("alone_after_s").asDouble(defaults.majorityTimeout() / MS_PER_SECOND);
    return new MembershipSettings(
        interval,
        timeout,
        membership.path("relays").asInt(defaults.relays()),
        membership.path("suspicion_intervals").asDouble(defaults.suspicionIntervals()),
        MS_PER_SECOND * majorityTimeoutSeconds);
  }

  private static Optional<LeaseConfiguration> leases(JsonNode section) {
    if (isDisabled(section)) {
      return Optional.empty();
    }
    List<Integer> witnesses = new ArrayList<>();
    section.path("witnesses").forEach(witness -> witnesses.add(witness.asInt()));
    double seconds = section.path("lasts_s").asDouble(DEFAULT_LEASE_SECONDS);
    return Optional.of(new LeaseConfiguration(MS_PER_SECOND * seconds, List.copyOf(witnesses)));
  }
}
