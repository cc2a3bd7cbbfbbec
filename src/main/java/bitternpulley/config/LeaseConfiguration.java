package bitternpulley.config;

import bitternpulley.leases.LeaseTerms;
import bitternpulley.routing.Settings;
import java.util.List;
import java.util.stream.IntStream;

/**
 * The configuration of leases in the operators' script.
 *
 * @param duration the duration of a lease, ms
 * @param witnesses the numbers of the aggregators that grant leases; empty if the default applies
 */
public record LeaseConfiguration(double duration, List<Integer> witnesses) {
  /** An odd number, so that a majority remains while one or two witnesses are unavailable. */
  private static final int DEFAULT_WITNESS_COUNT = 5;

  /**
   * Minimum share of a lease's duration in which the holder can use the lease. A lease is renewed
   * four times per duration.
   */
  private static final double MIN_USABLE_SHARE = 0.6;

  /** Checks this configuration for a number of members and returns its terms. */
  LeaseTerms terms(int members, Settings settings) {
    checkMembers(members, settings);
    List<Integer> effectiveWitnesses = witnesses.isEmpty() ? defaultWitnesses(members) : witnesses;
    checkWitnesses(effectiveWitnesses, members);
    // A decision made under a lease may first wait for a connection, and then has effect for the
    // overload window of a server that is warming up.
    double effectMs = settings.rules().overloadWindow() + settings.limits().connectTimeout();
    LeaseTerms terms = new LeaseTerms(members, effectiveWitnesses, duration, effectMs);
    checkUsableTime(terms);
    return terms;
  }

  private static void checkMembers(int members, Settings settings) {
    if (members > LeaseTerms.MAX_MEMBERS) {
      throw ConfigurationException.ofKey(
          "peers",
          "leases() supports at most "
              + LeaseTerms.MAX_MEMBERS
              + " aggregators, but 'peers' lists "
              + members);
    }
    if (members != settings.instances()) {
      throw ConfigurationException.ofKey(
          "peers",
          "leases() needs every aggregator in 'peers': 'instances' is "
              + settings.instances()
              + ", but "
              + members
              + " are named");
    }
  }

  private static List<Integer> defaultWitnesses(int members) {
    int maxCount = Math.min(DEFAULT_WITNESS_COUNT, members);
    int count = maxCount % 2 == 0 ? maxCount - 1 : maxCount;
    return IntStream.range(0, count).boxed().toList();
  }

  private static void checkWitnesses(List<Integer> effectiveWitnesses, int members) {
    for (int witness : effectiveWitnesses) {
      if (witness >= members) {
        throw ConfigurationException.ofKey(
            "leases.witnesses",
            "'leases.witnesses' names aggregator "
                + witness
                + ", but 'peers' lists only "
                + members
                + ", numbered from 0");
      }
    }
  }

  private static void checkUsableTime(LeaseTerms terms) {
    if (terms.usableTime() < MIN_USABLE_SHARE * terms.duration()) {
      throw ConfigurationException.ofKey(
          "leases.lasts_s",
          "'leases.lasts_s' is too short: of "
              + terms.duration()
              + " ms only "
              + Math.round(terms.usableTime())
              + " remain usable after 'fall' and 'connectTimeout'");
    }
  }
}
