package bitternpulley.benchmark;

import bitternpulley.faultinjection.Cluster;
import bitternpulley.faultinjection.QueryClients;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

/**
 * Measures membership with twelve aggregator processes under query load, of which one is paused for
 * 30 s. Meanwhile one process is killed, then half of the others at once, then all but one; the
 * remaining processes must consider each killed one dead. The resumed process must not declare the
 * last live one dead, and the two must find each other. The membership interval is half the
 * default, so that the measurement ends within its time limit.
 */
final class MeasureMembershipMany {
  private static final int NODES = 12;
  private static final int TIMEOUT_SECONDS = 40;
  private static final double QUERIES_PER_SECOND = 30;
  private static final double WAIT_TIMEOUT_MS = 12_000;
  private static final double PAUSE_MS = 30_000;

  /** Number of death declarations of members that had been neither killed nor paused by then. */
  private long falseDeaths;

  private MeasureMembershipMany() {}

  /**
   * Runs the measurement.
   *
   * @param args the seed, or nothing for seed 1
   */
  public static void main(String[] args) {
    MeasurementRunner.run(
        TIMEOUT_SECONDS,
        () -> {
          long seed = args.length > 0 && !args[0].isEmpty() ? Long.parseLong(args[0]) : 1;
          try (Cluster cluster =
              new Cluster(
                  "measure-membership-many",
                  NODES,
                  seed,
                  "membership(deployment = 'measure', interval_ms = 500, timeout_ms = 150,"
                      + " alone_after_s = 5)\n",
                  "make measure-membership-many SEED=" + seed)) {
            System.out.println(new MeasureMembershipMany().measure(cluster, seed));
          }
        });
  }

  private ObjectNode measure(Cluster cluster, long seed) throws Exception {
    QueryClients clients = new QueryClients(cluster, seed, QUERIES_PER_SECOND);
    List<Integer> order = new ArrayList<>(IntStream.range(0, NODES).boxed().toList());
    Collections.shuffle(order, new Random(seed));
    int paused = order.remove(0);
    clients.beginDisturbance(paused);
    cluster.applyFault("pause n" + paused);
    double resumeAtMs = cluster.timeline().elapsedMs() + PAUSE_MS;
    List<Integer> live = new ArrayList<>(order);
    ObjectNode out = new ObjectMapper().createObjectNode().put("processes", NODES);
    out.put("detect_ms_one", kill(cluster, clients, live, 1));
    out.put("detect_ms_half", kill(cluster, clients, live, live.size() / 2));
    out.put("detect_ms_all_but_one", kill(cluster, clients, live, live.size() - 1));
    out.put("false_dead", falseDeaths);
    double remainingMs = resumeAtMs - cluster.timeline().elapsedMs();
    if (remainingMs > 0) {
      TimeUnit.MILLISECONDS.sleep((long) remainingMs);
    }
    resume(cluster, paused, live.get(0), out);
    clients.stop();
    putLoadFigures(out, cluster, clients);
    out.put("rules_broken", cluster.fleet().ruleCheck().countViolations()).put("seed", seed);
    clients.lostQueryDescriptions().forEach(lost -> System.out.println("lost: " + lost));
    System.out.println("timeline: " + cluster.timeline().file());
    return out;
  }

  /** Resumes the paused process and waits until it and the last live one find each other. */
  private static void resume(Cluster cluster, int paused, int live, ObjectNode out)
      throws IOException, InterruptedException {
    String logBefore = cluster.node(paused).log();
    cluster.applyFault("resume n" + paused);
    out.put(
        "back_ms_stopped_30s",
        Math.round(
            cluster.awaitCondition(
                "the resumed and the last live member consider each other alive",
                WAIT_TIMEOUT_MS,
                () ->
                    cluster.allReportState(paused, "alive")
                        && cluster.allReportState(live, "alive"))));
    out.put(
        "blamed_by_stopped",
        cluster
            .node(paused)
            .log()
            .substring(logBefore.length())
            .lines()
            .filter(line -> line.contains("member " + live + " ") && line.contains(" is dead"))
            .count());
  }

  private static void putLoadFigures(ObjectNode out, Cluster cluster, QueryClients clients) {
    out.put("faults", cluster.timeline().countFaults())
        .put("asked", clients.countQueries())
        .put("served", clients.countServed());
    out.put("excused", clients.countExcused())
        .put("extra_answers", clients.countExtraAnswers())
        .put("lost", clients.lostQueryDescriptions().size());
  }

  /**
   * Kills {@code count} live processes at once and returns after how many ms all remaining
   * processes consider each of them dead.
   */
  private long kill(Cluster cluster, QueryClients clients, List<Integer> live, int count)
      throws IOException, InterruptedException {
    for (int node : live) {
      falseDeaths += cluster.countDeathDeclarations(node);
    }
    List<Integer> killed = new ArrayList<>(live.subList(0, count));
    live.removeAll(killed);
    double startMs = cluster.timeline().elapsedMs();
    for (int node : killed) {
      clients.beginDisturbance(node);
      cluster.applyFault("kill n" + node);
    }
    cluster.awaitCondition(
        "all processes that are left consider " + killed + " dead",
        WAIT_TIMEOUT_MS,
        () ->
            killed.stream()
                .allMatch(
                    dead ->
                        live.stream().allMatch(node -> cluster.reportsState(node, dead, "dead"))));
    return Math.round(cluster.timeline().elapsedMs() - startMs);
  }
}
