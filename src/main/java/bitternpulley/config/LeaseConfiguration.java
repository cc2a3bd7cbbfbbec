package bitternpulley.config;

import bitternpulley.leases.LeaseTerms;
import bitternpulley.routing.Settings;
import java.util.List;
import java.util.stream.IntStream;

/**
 * What the operators' script says of leases: how long one lasts, ms, and the witnesses' numbers, or
 * none for the usual ones.
 */
public record LeaseConfiguration(double duration, List<Integer> witnesses) {
  /** Witnesses where none are named: an odd number, of which one or two may be away. */
  private static final int USUAL_WITNESSES = 5;

  /** Share of a lease that must be left for its use: each is asked for anew four times. */
  private static final double LEAST_USE = 0.6;

  /** The terms for so many members, all checked; throws ConfigException. */
  LeaseTerms terms(int members, Settings settings) {
    if (members > LeaseTerms.MAX_MEMBERS) {
      throw new ConfigurationException(
          "leases() is for at most "
              + LeaseTerms.MAX_MEMBERS
              + " aggregators, and 'peers' names "
              + members);
    }
    if (members != settings.instances()) {
      throw new ConfigurationException(
          "leases() needs all of 'instances' in 'peers': there are "
              + settings.instances()
              + ", and "
              + members
              + " are named");
    }
    int usual = Math.min(USUAL_WITNESSES, members);
    List<Integer> who =
        witnesses.isEmpty()
            ? IntStream.range(0, usual % 2 == 0 ? usual - 1 : usual).boxed().toList()
            : witnesses;
    who.stream()
        .filter(w -> w >= members)
        .findFirst()
        .ifPresent(
            w -> {
              throw new ConfigurationException(
                  "'leases.witnesses' names number "
                      + w
                      + ", and 'peers' only "
                      + members
                      + " aggregators");
            });
    // What was decided under a lease counts for as long as a cold server's window, and may wait for
    // a connection before.
    LeaseTerms terms =
        new LeaseTerms(
            members,
            who,
            duration,
            settings.rules().overloadWindow() + settings.limits().connectTimeout());
    if (terms.usableTime() < LEAST_USE * terms.duration()) {
      throw new ConfigurationException(
          "'leases.lasts_s' is too short: of "
              + terms.duration()
              + " ms only "
              + Math.round(terms.usableTime())
              + " are for use beside 'fall' and 'connectTimeout'");
    }
    return terms;
  }
}
