package bitternpulley.benchmark;

import bitternpulley.faultinjection.Callers;
import bitternpulley.faultinjection.Cluster;
import bitternpulley.faultinjection.Scenario;
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
 * Seven processes under query load find out who of them is here, while by seed one is stopped, two
 * are killed, datagrams are lost and late, two hear each other one way, and a zone is cut off, one
 * way and then both, as slot servers start anew. Every verdict is read from the processes' own
 * logs.
 */
final class MeasureMembership {
  private static final int NODES = 7;
  private static final int MOST_SECONDS = 40;
  private static final double PER_SECOND = 40;
  private static final double PATIENCE = 20_000;

  /** The second zone, which is cut off: all three are there, of seven. */
  private static final List<Integer> MINORITY = List.of(1, 3, 5);

  private final long seed;
  private final Random random;
  private final Cluster cluster;
  private final Callers callers;
  private final List<Double> detected = new ArrayList<>();
  private double bytesPerSecond;
  private double partsMost;

  private MeasureMembership(long seed) throws Exception {
    this.seed = seed;
    random = new Random(seed);
    cluster =
        new Cluster(
            "measure-membership",
            NODES,
            seed,
            "membership(deployment = 'measure')\nleases(lasts_s = 4)\n",
            "make measure-membership SEED=" + seed);
    callers = new Callers(cluster, seed, PER_SECOND);
  }

  public static void main(String[] args) {
    MeasurementRunner.run(
        MOST_SECONDS,
        () -> {
          long seed = args.length > 0 && !args[0].isEmpty() ? Long.parseLong(args[0]) : 1;
          try (MeasureCloser m = new MeasureCloser(new MeasureMembership(seed))) {
            System.out.println(m.measure.measure());
          }
        });
  }

  /** Ends the processes, whatever became of the measurement. */
  private record MeasureCloser(MeasureMembership measure) implements AutoCloseable {
    @Override
    public void close() throws IOException {
      measure.cluster.close();
    }
  }

  private ObjectNode measure() throws Exception {
    cluster.until("all find each other", PATIENCE, this::settled);
    List<Integer> order = new ArrayList<>(IntStream.range(0, NODES).boxed().toList());
    Collections.shuffle(order, random);
    String stopped = "n" + order.get(0);
    List<Integer> killed = order.subList(1, 3);
    cluster.does("lose 0.05 nodes = nodes");
    cluster.does("delay 1 40 nodes = nodes");
    cluster.does("repeat 0.05 nodes = nodes");
    double bytesBefore = bytes();
    double from = cluster.timeline().now();
    for (int k : killed) {
      callers.disturbed(k);
      cluster.does("kill n" + k);
    }
    double died = cluster.timeline().now();
    for (int k : killed) {
      cluster.until("all know of n" + k, PATIENCE, () -> cluster.allHold(k, "dead"));
      detected.add(cluster.timeline().now() - died);
    }
    bytesPerSecond = (bytes() - bytesBefore) / ((cluster.timeline().now() - from) / 1000);
    parts();
    for (int k : killed) {
      cluster.does((random.nextBoolean() ? "restart n" : "renew n") + k);
      callers.well(k);
    }
    cluster.until("the killed are back", PATIENCE, this::settled);
    // Until now only the killed may have been called dead; from now on nobody, and then only those
    // that a majority cannot reach.
    int falseDead = deaths(killed);
    int beforeStop = deaths(List.of());
    callers.disturbed(order.get(0));
    Scenario.of("0 pause " + stopped + "\n3000 resume " + stopped).play(cluster);
    cluster.until("the stopped one is held for alive", PATIENCE, this::settled);
    callers.well(order.get(0));
    int deadOfStopped = deaths(List.of()) - beforeStop;
    int before = deaths(MINORITY);
    Scenario.of(
            "0 cut n"
                + order.get(3)
                + " > n"
                + order.get(4)
                + "\n0 cut n1,n3,n5 > n0,n2,n4,n6\n1000 cut n1,n3,n5 = n0,n2,n4,n6\n"
                + "1500 cold s"
                + random.nextInt(3)
                + "\n2500 cold s"
                + (3 + random.nextInt(3)))
        .play(cluster);
    for (int k = 0; k < 7; k++) {
      TimeUnit.MILLISECONDS.sleep(500);
      parts();
    }
    cluster.does("heal nodes = nodes");
    double converged = cluster.until("all hold the same view", PATIENCE, this::settled);
    parts();
    callers.end();
    ObjectNode out = new ObjectMapper().createObjectNode();
    out.put("processes", NODES).put("faults", cluster.timeline().injected());
    out.put("detect_ms_median", median(detected))
        .put("detect_ms_max", Math.round(Collections.max(detected)));
    out.put("false_dead", falseDead + deaths(MINORITY) - before)
        .put("false_dead_paused_3s", deadOfStopped);
    out.put("converge_ms_max", Math.round(converged))
        .put("bytes_per_s_max", Math.round(bytesPerSecond));
    out.put("asked", callers.asked())
        .put("served", callers.served())
        .put("refused", callers.refused());
    out.put("failed", callers.failed()).put("excused", callers.excused());
    out.put("extra_answers", callers.extra()).put("lost", callers.lost().size());
    out.put("parts_sum_max", partsMost);
    out.put(
        "cold_share_max",
        cluster.fleet().servers().stream()
            .mapToDouble(s -> cluster.fleet().rules().coldShare(s.id()))
            .max()
            .orElse(0));
    out.put("rules_broken", cluster.fleet().rules().broken()).put("seed", seed);
    callers.lost().forEach(l -> System.out.println("lost: " + l));
    cluster.fleet().rules().breaches().forEach(b -> System.out.println("broken: " + b));
    System.out.println("timeline: " + cluster.timeline().file());
    return out;
  }

  /**
   * What all that run would take together of what all may do together, as they tell one after
   * another.
   */
  private void parts() throws IOException {
    partsMost = Math.max(partsMost, cluster.parts().values().stream().mapToDouble(p -> p).sum());
  }

  private boolean settled() {
    return IntStream.range(0, NODES).allMatch(i -> cluster.allHold(i, "alive"))
        && cluster.viewsEqual();
  }

  /** The most that any process sends, bytes so far. */
  private double bytes() {
    return IntStream.range(0, NODES).mapToDouble(i -> cluster.bytesOf(i)).max().orElse(0);
  }

  /** Verdicts of death on members other than these, in the logs of all processes. */
  private int deaths(List<Integer> but) throws IOException {
    int deaths = 0;
    for (int i = 0; i < NODES; i++) {
      deaths += but.contains(i) ? 0 : (int) cluster.deaths(i);
    }
    return deaths;
  }

  private static long median(List<Double> of) {
    List<Double> sorted = new ArrayList<>(of);
    Collections.sort(sorted);
    return Math.round(sorted.get(sorted.size() / 2));
  }
}
