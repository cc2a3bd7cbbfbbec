package bitternpulley.benchmark;

import bitternpulley.faultinjection.Cluster;
import bitternpulley.faultinjection.QueryClients;
import bitternpulley.faultinjection.Scenario;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * Measures membership in one fault case, chosen by name, with seven aggregator processes under
 * query load: death declarations, and the time until the members agree again.
 */
final class MeasureMembershipCase {
  private static final int NODES = 7;
  private static final int TIMEOUT_SECONDS = 40;
  private static final double QUERIES_PER_SECOND = 30;
  private static final double WAIT_TIMEOUT_MS = 20_000;

  /**
   * A fault case.
   *
   * @param scenario the faults and their times
   * @param mayBeDeclaredDead the processes that a majority may declare dead during the faults
   * @param disturbed the processes that may leave queries unanswered during the faults
   */
  private record FaultCase(
      String scenario, Set<Integer> mayBeDeclaredDead, Set<Integer> disturbed) {
    FaultCase(String scenario) {
      this(scenario, Set.of(), Set.of());
    }
  }

  private static final Map<String, FaultCase> CASES = new LinkedHashMap<>();

  static {
    CASES.put("loss5", new FaultCase("0 lose 0.05 nodes = nodes\n12000 heal nodes = nodes"));
    CASES.put(
        "loss40",
        new FaultCase(
            "0 lose 0.4 nodes = nodes\n0 delay 0 400 nodes = nodes\n0 repeat 0.1 nodes = nodes\n"
                + "12000 heal nodes = nodes"));
    CASES.put(
        "bursts",
        new FaultCase(repeated(2000, 6, "0 cut nodes = nodes", "400 heal nodes = nodes")));
    CASES.put("garbled", new FaultCase("0 garble 0.3 nodes = nodes\n12000 heal nodes = nodes"));
    CASES.put(
        "pause-short",
        new FaultCase(
            repeated(2000, 5, "0 pause n1,n2,n3", "300 resume n1,n2,n3"),
            Set.of(),
            Set.of(1, 2, 3)));
    CASES.put(
        "pause-three",
        new FaultCase("0 pause n1,n2,n3\n3000 resume n1,n2,n3", Set.of(), Set.of(1, 2, 3)));
    CASES.put("deaf", new FaultCase("0 cut nodes > n1\n10000 heal nodes > n1"));
    CASES.put(
        "mute", new FaultCase("0 cut n1 > nodes\n10000 heal n1 > nodes", Set.of(1), Set.of()));
    CASES.put(
        "zone",
        new FaultCase(
            "0 cut n1,n3,n5 = n0,n2,n4,n6\n10000 heal nodes = nodes", Set.of(1, 3, 5), Set.of()));
    CASES.put(
        "zone-one-way",
        new FaultCase(
            "0 cut n1,n3,n5 > n0,n2,n4,n6\n10000 heal nodes = nodes", Set.of(1, 3, 5), Set.of()));
    CASES.put(
        "flapping",
        new FaultCase(
            repeated(2000, 6, "0 cut n1,n3,n5 = n0,n2,n4,n6", "1000 heal nodes = nodes"),
            Set.of(1, 3, 5),
            Set.of()));
    CASES.put("bridge", new FaultCase("0 cut n0 = n2\n12000 heal n0 = n2"));
  }

  private MeasureMembershipCase() {}

  /** Returns a scenario that repeats lines, each with a time in ms and a fault, at an interval. */
  private static String repeated(int intervalMs, int times, String... lines) {
    StringBuilder scenario = new StringBuilder();
    for (int repetition = 0; repetition < times; repetition++) {
      for (String line : lines) {
        String[] timeAndFault = line.split(" ", 2);
        scenario
            .append(repetition * intervalMs + Integer.parseInt(timeAndFault[0]))
            .append(' ')
            .append(timeAndFault[1])
            .append('\n');
      }
    }
    return scenario.toString();
  }

  /**
   * Runs the measurement.
   *
   * @param args the name of a case, then the seed, or nothing for seed 1
   */
  public static void main(String[] args) {
    if (args.length == 0 || !CASES.containsKey(args[0])) {
      System.err.println("CASE is one of " + String.join(", ", CASES.keySet()));
      System.exit(2);
    }
    MeasurementRunner.run(
        TIMEOUT_SECONDS,
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

  private static ObjectNode measure(Cluster cluster, String name, FaultCase faultCase, long seed)
      throws Exception {
    cluster.awaitCondition(
        "all members are alive in one view", WAIT_TIMEOUT_MS, () -> hasConverged(cluster));
    QueryClients clients = new QueryClients(cluster, seed, QUERIES_PER_SECOND);
    faultCase.disturbed().forEach(clients::beginDisturbance);
    Scenario.parse(faultCase.scenario()).run(cluster);
    double convergenceMs =
        cluster.awaitCondition(
            "all members hold the same view", WAIT_TIMEOUT_MS, () -> hasConverged(cluster));
    faultCase.disturbed().forEach(clients::endDisturbance);
    clients.stop();
    ObjectNode out =
        new ObjectMapper().createObjectNode().put("case", name).put("processes", NODES);
    out.put("faults", cluster.timeline().countFaults())
        .put("converge_ms", Math.round(convergenceMs));
    out.put("false_dead", countDeathDeclarations(cluster, faultCase.mayBeDeclaredDead(), false))
        .put("dead", countDeathDeclarations(cluster, faultCase.mayBeDeclaredDead(), true));
    out.put("asked", clients.countQueries())
        .put("served", clients.countServed())
        .put("excused", clients.countExcused());
    out.put("extra_answers", clients.countExtraAnswers())
        .put("lost", clients.lostQueryDescriptions().size());
    out.put("rules_broken", cluster.fleet().ruleCheck().countViolations()).put("seed", seed);
    clients.lostQueryDescriptions().forEach(lost -> System.out.println("lost: " + lost));
    System.out.println("timeline: " + cluster.timeline().file());
    return out;
  }

  private static boolean hasConverged(Cluster cluster) {
    return IntStream.range(0, NODES).allMatch(member -> cluster.allReportState(member, "alive"))
        && cluster.viewsEqual();
  }

  /**
   * Returns how often the processes have declared one of the given members dead, or one of all
   * other members if {@code included} is false.
   */
  private static long countDeathDeclarations(
      Cluster cluster, Set<Integer> members, boolean included) throws IOException {
    long deaths = 0;
    for (int member = 0; member < NODES; member++) {
      deaths += members.contains(member) == included ? cluster.countDeathDeclarations(member) : 0;
    }
    return deaths;
  }
}
