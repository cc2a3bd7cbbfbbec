package bitternpulley.config;

import bitternpulley.leases.LeaseTerms;
import bitternpulley.routing.Settings;
import java.util.List;
import java.util.stream.IntStream;

/**
 * What the operators' script says of leases.
 *
 * @param duration of a lease, ms
 * @param witnesses the numbers of the aggregators that vote on leases; empty for the default ones
 */
public record LeaseConfiguration(double duration, List<Integer> witnesses) {
  /** An odd number, so that a majority remains while one or two are unavailable. */
  private static final int DEFAULT_WITNESSES = 5;

  /** Share of a lease's duration that must be usable: each lease is renewed four times in it. */
  private static final double MIN_USABLE_SHARE = 0.6;

  /** The checked terms for a number of members. */
  LeaseTerms terms(int members, Settings settings) {
    checkMembers(members, settings);
    List<Integer> voters = witnesses.isEmpty() ? defaultWitnesses(members) : witnesses;
    checkWitnesses(voters, members);
    // A decision made under a lease has effect for a cold server's overload window, and may wait
    // for a connection before.
    double effectMs = settings.rules().overloadWindow() + settings.limits().connectTimeout();
    LeaseTerms terms = new LeaseTerms(members, voters, duration, effectMs);
    checkUsableTime(terms);
    return terms;
  }

  private static void checkMembers(int members, Settings settings) {
    if (members > LeaseTerms.MAX_MEMBERS) {
      throw ConfigurationException.ofKey(
          "peers",
          "leases() is for at most "
              + LeaseTerms.MAX_MEMBERS
              + " aggregators, and 'peers' names "
              + members);
    }
    if (members != settings.instances()) {
      throw ConfigurationException.ofKey(
          "peers",
          "leases() needs all of 'instances' in 'peers': there are "
              + settings.instances()
              + ", and "
              + members
              + " are named");
    }
  }

  private static List<Integer> defaultWitnesses(int members) {
    int most = Math.min(DEFAULT_WITNESSES, members);
    int count = most % 2 == 0 ? most - 1 : most;
    return IntStream.range(0, count).boxed().toList();
  }

  private static void checkWitnesses(List<Integer> voters, int members) {
    for (int voter : voters) {
      if (voter >= members) {
        throw ConfigurationException.ofKey(
            "leases.witnesses",
            "'leases.witnesses' names number "
                + voter
                + ", and 'peers' only "
                + members
                + " aggregators");
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
              + " are for use beside 'fall' and 'connectTimeout'");
    }
  }
}
