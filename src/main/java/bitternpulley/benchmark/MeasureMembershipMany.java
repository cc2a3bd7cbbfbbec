package bitternpulley.benchmark;

import bitternpulley.faultinjection.Callers;
import bitternpulley.faultinjection.Cluster;
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
 * Twelve processes under query load, of which one stands still for 30 s. Meanwhile one is killed,
 * then half of the rest at once, then all but one: who is left knows of each, the one that wakes
 * blames nobody, and the two find each other. At half the usual interval, so that it ends in its
 * time.
 */
final class MeasureMembershipMany {
  private static final int NODES = 12;
  private static final int MOST_SECONDS = 40;
  private static final double PER_SECOND = 30;
  private static final double PATIENCE = 12_000;
  private static final double STOPPED = 30_000;

  /** Verdicts of death on members that were neither killed nor stopped till then. */
  private long falseDead;

  private MeasureMembershipMany() {}

  public static void main(String[] args) {
    MeasurementRunner.run(
        MOST_SECONDS,
        () -> {
          long seed = args.length > 0 && !args[0].isEmpty() ? Long.parseLong(args[0]) : 1;
          try (Cluster cluster =
              new Cluster(
                  "measure-membership-many",
                  NODES,
                  seed,
                  "membership(deployment = 'measure', interval_ms = 500, timeout_ms = 150, alone_after_s = 5)\n",
                  "make measure-membership-many SEED=" + seed)) {
            System.out.println(new MeasureMembershipMany().measure(cluster, seed));
          }
        });
  }

  private ObjectNode measure(Cluster cluster, long seed) throws Exception {
    Callers callers = new Callers(cluster, seed, PER_SECOND);
    List<Integer> order = new ArrayList<>(IntStream.range(0, NODES).boxed().toList());
    Collections.shuffle(order, new Random(seed));
    int stopped = order.remove(0);
    callers.disturbed(stopped);
    cluster.does("pause n" + stopped);
    double resumesAt = cluster.timeline().now() + STOPPED;
    List<Integer> live = new ArrayList<>(order);
    ObjectNode out = new ObjectMapper().createObjectNode().put("processes", NODES);
    out.put("detect_ms_one", kill(cluster, callers, live, 1));
    out.put("detect_ms_half", kill(cluster, callers, live, live.size() / 2));
    out.put("detect_ms_all_but_one", kill(cluster, callers, live, live.size() - 1));
    out.put("false_dead", falseDead);
    double left = resumesAt - cluster.timeline().now();
    if (left > 0) {
      TimeUnit.MILLISECONDS.sleep((long) left);
    }
    String before = cluster.node(stopped).log();
    cluster.does("resume n" + stopped);
    out.put(
        "back_ms_stopped_30s",
        Math.round(
            cluster.until(
                "the two find each other",
                PATIENCE,
                () -> cluster.allHold(stopped, "alive") && cluster.allHold(live.get(0), "alive"))));
    out.put(
        "blamed_by_stopped",
        cluster
            .node(stopped)
            .log()
            .substring(before.length())
            .lines()
            .filter(l -> l.contains("member " + live.get(0) + " ") && l.contains(" is dead"))
            .count());
    callers.end();
    out.put("faults", cluster.timeline().injected())
        .put("asked", callers.asked())
        .put("served", callers.served());
    out.put("excused", callers.excused())
        .put("extra_answers", callers.extra())
        .put("lost", callers.lost().size());
    out.put("rules_broken", cluster.fleet().rules().broken()).put("seed", seed);
    callers.lost().forEach(l -> System.out.println("lost: " + l));
    System.out.println("timeline: " + cluster.timeline().file());
    return out;
  }

  /** Kills so many at once, and returns after how many ms all that are left know of each. */
  private long kill(Cluster cluster, Callers callers, List<Integer> live, int count)
      throws IOException, InterruptedException {
    for (int i : live) {
      falseDead += cluster.deaths(i);
    }
    List<Integer> killed = new ArrayList<>(live.subList(0, count));
    live.removeAll(killed);
    double from = cluster.timeline().now();
    for (int k : killed) {
      callers.disturbed(k);
      cluster.does("kill n" + k);
    }
    cluster.until(
        "all that are left know of " + killed,
        PATIENCE,
        () ->
            killed.stream()
                .allMatch(k -> live.stream().allMatch(i -> cluster.holds(i, k, "dead"))));
    return Math.round(cluster.timeline().now() - from);
  }
}
