package bitternpulley.config;

import bitternpulley.membership.MembershipSettings;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Reads {@code membership()} and {@code leases()} of the operators' script. */
final class MembershipReader {
  private static final double LEASE_S = 10;

  private MembershipReader() {}

  /** Empty where the script has none, or has it off. */
  static Optional<MembershipConfiguration> read(BrokerScript script) {
    JsonNode in = script.document().path("membership");
    Optional<LeaseConfiguration> leases = leases(script);
    if (in.isMissingNode() || !in.path("on").asBoolean(true)) {
      if (leases.isPresent()) {
        throw script.fault("/leases", "needs membership()");
      }
      return Optional.empty();
    }
    MembershipSettings usual = MembershipSettings.DEFAULT;
    double interval = in.path("interval_ms").asDouble(usual.interval());
    double timeout = in.path("timeout_ms").asDouble(usual.timeout());
    if (3 * timeout > interval) {
      // Guards against probes of which one is still under way when the next is due: each takes up
      // to three timeouts.
      throw script.fault(
          "/membership/timeout_ms", "is over a third of interval_ms, which is " + interval);
    }
    return Optional.of(
        new MembershipConfiguration(
            new MembershipSettings(
                interval,
                timeout,
                in.path("relays").asInt(usual.relays()),
                in.path("suspicion_intervals").asDouble(usual.suspicionIntervals()),
                1000 * in.path("alone_after_s").asDouble(usual.withoutMajorityAfter() / 1000)),
            in.path("region").asText(""),
            in.path("deployment").asText(""),
            leases));
  }

  private static Optional<LeaseConfiguration> leases(BrokerScript script) {
    JsonNode in = script.document().path("leases");
    if (in.isMissingNode() || !in.path("on").asBoolean(true)) {
      return Optional.empty();
    }
    List<Integer> witnesses = new ArrayList<>();
    in.path("witnesses").forEach(w -> witnesses.add(w.asInt()));
    return Optional.of(
        new LeaseConfiguration(
            1000 * in.path("lasts_s").asDouble(LEASE_S), List.copyOf(witnesses)));
  }
}
