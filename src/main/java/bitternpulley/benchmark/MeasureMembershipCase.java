package bitternpulley.benchmark;

import bitternpulley.faultinjection.Callers;
import bitternpulley.faultinjection.Cluster;
import bitternpulley.faultinjection.Scenario;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * One hard case of membership by name, with seven processes under query load: who was called dead,
 * and when all agreed again.
 */
final class MeasureMembershipCase {
  private static final int NODES = 7;
  private static final int MOST_SECONDS = 40;
  private static final double PER_SECOND = 30;
  private static final double PATIENCE = 20_000;

  /**
   * What befalls the processes, whom a majority may call dead meanwhile, and on whom the clients do
   * not count.
   */
  private record Case(String scenario, Set<Integer> mayDie, Set<Integer> disturbed) {
    Case(String scenario) {
      this(scenario, Set.of(), Set.of());
    }
  }

  private static final Map<String, Case> CASES = new LinkedHashMap<>();

  static {
    CASES.put("loss5", new Case("0 lose 0.05 nodes = nodes\n12000 heal nodes = nodes"));
    CASES.put(
        "loss40",
        new Case(
            "0 lose 0.4 nodes = nodes\n0 delay 0 400 nodes = nodes\n0 repeat 0.1 nodes = nodes\n"
                + "12000 heal nodes = nodes"));
    CASES.put("bursts", new Case(every(2000, 6, "0 cut nodes = nodes", "400 heal nodes = nodes")));
    CASES.put("garbled", new Case("0 garble 0.3 nodes = nodes\n12000 heal nodes = nodes"));
    CASES.put(
        "pause-short",
        new Case(
            every(2000, 5, "0 pause n1,n2,n3", "300 resume n1,n2,n3"), Set.of(), Set.of(1, 2, 3)));
    CASES.put(
        "pause-three",
        new Case("0 pause n1,n2,n3\n3000 resume n1,n2,n3", Set.of(), Set.of(1, 2, 3)));
    CASES.put("deaf", new Case("0 cut nodes > n1\n10000 heal nodes > n1"));
    CASES.put("mute", new Case("0 cut n1 > nodes\n10000 heal n1 > nodes", Set.of(1), Set.of()));
    CASES.put(
        "zone",
        new Case(
            "0 cut n1,n3,n5 = n0,n2,n4,n6\n10000 heal nodes = nodes", Set.of(1, 3, 5), Set.of()));
    CASES.put(
        "zone-one-way",
        new Case(
            "0 cut n1,n3,n5 > n0,n2,n4,n6\n10000 heal nodes = nodes", Set.of(1, 3, 5), Set.of()));
    CASES.put(
        "flapping",
        new Case(
            every(2000, 6, "0 cut n1,n3,n5 = n0,n2,n4,n6", "1000 heal nodes = nodes"),
            Set.of(1, 3, 5),
            Set.of()));
    CASES.put("bridge", new Case("0 cut n0 = n2\n12000 heal n0 = n2"));
  }

  private MeasureMembershipCase() {}

  private static String every(int ms, int times, String... steps) {
    StringBuilder all = new StringBuilder();
    for (int k = 0; k < times; k++) {
      for (String step : steps) {
        String[] words = step.split(" ", 2);
        all.append(k * ms + Integer.parseInt(words[0])).append(' ').append(words[1]).append('\n');
      }
    }
    return all.toString();
  }

  public static void main(String[] args) {
    if (args.length == 0 || !CASES.containsKey(args[0])) {
      System.err.println("CASE is one of " + String.join(", ", CASES.keySet()));
      System.exit(2);
    }
    MeasurementRunner.run(
        MOST_SECONDS,
        () -> {
          long seed = args.length > 1 && !args[1].isEmpty() ? Long.parseLong(args[1]) : 1;
          try (Cluster cluster =
              new Cluster(
                  "measure-membership-" + args[0],
                  NODES,
                  seed,
                  "membership(deployment = 'measure')\nleases(lasts_s = 4)\n",
                  "make measure-membership-case CASE=" + args[0] + " SEED=" + seed)) {
            System.out.println(measure(cluster, args[0], CASES.get(args[0]), seed));
          }
        });
  }

  private static ObjectNode measure(Cluster cluster, String name, Case of, long seed)
      throws Exception {
    cluster.until("all find each other", PATIENCE, () -> settled(cluster));
    Callers callers = new Callers(cluster, seed, PER_SECOND);
    of.disturbed().forEach(callers::disturbed);
    Scenario.of(of.scenario()).play(cluster);
    double converged = cluster.until("all hold the same view", PATIENCE, () -> settled(cluster));
    of.disturbed().forEach(callers::well);
    callers.end();
    ObjectNode out =
        new ObjectMapper().createObjectNode().put("case", name).put("processes", NODES);
    out.put("faults", cluster.timeline().injected()).put("converge_ms", Math.round(converged));
    out.put("false_dead", deaths(cluster, of.mayDie(), false))
        .put("dead", deaths(cluster, of.mayDie(), true));
    out.put("asked", callers.asked())
        .put("served", callers.served())
        .put("excused", callers.excused());
    out.put("extra_answers", callers.extra()).put("lost", callers.lost().size());
    out.put("rules_broken", cluster.fleet().rules().broken()).put("seed", seed);
    callers.lost().forEach(l -> System.out.println("lost: " + l));
    System.out.println("timeline: " + cluster.timeline().file());
    return out;
  }

  private static boolean settled(Cluster cluster) {
    return IntStream.range(0, NODES).allMatch(i -> cluster.allHold(i, "alive"))
        && cluster.viewsEqual();
  }

  /** Verdicts of death on these, or on all others. */
  private static long deaths(Cluster cluster, Set<Integer> of, boolean these) throws IOException {
    long deaths = 0;
    for (int i = 0; i < NODES; i++) {
      deaths += of.contains(i) == these ? cluster.deaths(i) : 0;
    }
    return deaths;
  }
}
