package bitternpulley.benchmark;

import bitternpulley.faultinjection.Cluster;
import bitternpulley.faultinjection.QueryClients;
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
 * Measures membership with seven aggregator processes under query load. Datagrams are lost, delayed
 * and repeated throughout. Two processes that the seed chooses are killed and started again, then
 * one is paused. Finally the datagrams from one process to another are cut, and one zone is
 * partitioned from the other, first in one direction and then in both, while slot servers restart
 * cold. Death declarations are counted in the logs of the processes.
 */
final class MeasureMembership {
  private static final int NODES = 7;
  private static final int TIMEOUT_SECONDS = 40;
  private static final double QUERIES_PER_SECOND = 40;
  private static final double WAIT_TIMEOUT_MS = 20_000;

  /** The three processes of the second zone, which is partitioned from the other four. */
  private static final List<Integer> MINORITY = List.of(1, 3, 5);

  private final long seed;
  private final Random random;
  private final Cluster cluster;
  private final QueryClients clients;
  private final List<Double> detectionTimesMs = new ArrayList<>();
  private double bytesPerSecond;
  private double maxLeaseQuotaSum;

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
    clients = new QueryClients(cluster, seed, QUERIES_PER_SECOND);
  }

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
          try (ClusterCloser closer = new ClusterCloser(new MeasureMembership(seed))) {
            System.out.println(closer.measurement.measure());
          }
        });
  }

  /** Ends the processes of a measurement, even if the measurement fails. */
  private record ClusterCloser(MeasureMembership measurement) implements AutoCloseable {
    @Override
    public void close() throws IOException {
      measurement.cluster.close();
    }
  }

  private ObjectNode measure() throws Exception {
    cluster.awaitCondition(
        "all members are alive in one view", WAIT_TIMEOUT_MS, this::hasConverged);
    List<Integer> order = new ArrayList<>(IntStream.range(0, NODES).boxed().toList());
    Collections.shuffle(order, random);
    List<Integer> killed = order.subList(1, 3);
    killAndRestart(killed);
    // Until now, only the killed processes may have been declared dead. From now on, no process may
    // be declared dead, except those that the majority cannot reach during the partition.
    int falseDeaths = countDeathDeclarationsExcept(killed);
    int falseDeathsOfPause = pauseAndResume(order.get(0));
    int deathsBeforePartition = countDeathDeclarationsExcept(MINORITY);
    double convergenceMs = partitionAndHeal(order.get(3), order.get(4));
    recordLeaseQuotas();
    clients.stop();
    falseDeaths += countDeathDeclarationsExcept(MINORITY) - deathsBeforePartition;
    ObjectNode out = figures(falseDeaths, falseDeathsOfPause, convergenceMs);
    clients.lostQueryDescriptions().forEach(lost -> System.out.println("lost: " + lost));
    cluster
        .fleet()
        .ruleCheck()
        .firstViolations()
        .forEach(violation -> System.out.println("broken: " + violation));
    System.out.println("timeline: " + cluster.timeline().file());
    return out;
  }

  /**
   * Makes the network unreliable, kills processes at the same time, records how long the others
   * take to declare each of them dead, and starts the killed processes again.
   */
  private void killAndRestart(List<Integer> killed) throws Exception {
    cluster.applyFault("lose 0.05 nodes = nodes");
    cluster.applyFault("delay 1 40 nodes = nodes");
    cluster.applyFault("repeat 0.05 nodes = nodes");
    double bytesBefore = maxBytesSent();
    double startMs = cluster.timeline().elapsedMs();
    for (int node : killed) {
      clients.beginDisturbance(node);
      cluster.applyFault("kill n" + node);
    }
    double killedAtMs = cluster.timeline().elapsedMs();
    for (int node : killed) {
      cluster.awaitCondition(
          "all others consider n" + node + " dead",
          WAIT_TIMEOUT_MS,
          () -> cluster.allReportState(node, "dead"));
      detectionTimesMs.add(cluster.timeline().elapsedMs() - killedAtMs);
    }
    bytesPerSecond =
        (maxBytesSent() - bytesBefore) / ((cluster.timeline().elapsedMs() - startMs) / 1000);
    recordLeaseQuotas();
    for (int node : killed) {
      cluster.applyFault((random.nextBoolean() ? "restart n" : "renew n") + node);
      clients.endDisturbance(node);
    }
    cluster.awaitCondition(
        "the killed members are alive again", WAIT_TIMEOUT_MS, this::hasConverged);
  }

  /** Pauses a process for 3 s and returns how many death declarations there were meanwhile. */
  private int pauseAndResume(int node) throws Exception {
    int deathsBefore = countDeathDeclarationsExcept(List.of());
    clients.beginDisturbance(node);
    Scenario.parse("0 pause n" + node + "\n3000 resume n" + node).run(cluster);
    cluster.awaitCondition(
        "the paused member is considered alive", WAIT_TIMEOUT_MS, this::hasConverged);
    clients.endDisturbance(node);
    return countDeathDeclarationsExcept(List.of()) - deathsBefore;
  }

  /**
   * Cuts the direction from one process to another and partitions {@link #MINORITY}; returns after
   * how many ms from the end of all faults all members have the same view.
   */
  private double partitionAndHeal(int sender, int receiver) throws Exception {
    Scenario.parse(
            "0 cut n"
                + sender
                + " > n"
                + receiver
                + "\n0 cut n1,n3,n5 > n0,n2,n4,n6\n1000 cut n1,n3,n5 = n0,n2,n4,n6\n"
                + "1500 cold s"
                + random.nextInt(3)
                + "\n2500 cold s"
                + (3 + random.nextInt(3)))
        .run(cluster);
    for (int sample = 0; sample < 7; sample++) {
      TimeUnit.MILLISECONDS.sleep(500);
      recordLeaseQuotas();
    }
    cluster.applyFault("heal nodes = nodes");
    return cluster.awaitCondition(
        "all members hold the same view", WAIT_TIMEOUT_MS, this::hasConverged);
  }

  private ObjectNode figures(int falseDeaths, int falseDeathsOfPause, double convergenceMs) {
    ObjectNode out = new ObjectMapper().createObjectNode();
    out.put("processes", NODES).put("faults", cluster.timeline().countFaults());
    out.put("detect_ms_median", median(detectionTimesMs))
        .put("detect_ms_max", Math.round(Collections.max(detectionTimesMs)));
    out.put("false_dead", falseDeaths).put("false_dead_paused_3s", falseDeathsOfPause);
    out.put("converge_ms_max", Math.round(convergenceMs))
        .put("bytes_per_s_max", Math.round(bytesPerSecond));
    out.put("asked", clients.countQueries())
        .put("served", clients.countServed())
        .put("refused", clients.countRejected());
    out.put("failed", clients.countFailed()).put("excused", clients.countExcused());
    out.put("extra_answers", clients.countExtraAnswers())
        .put("lost", clients.lostQueryDescriptions().size());
    out.put("parts_sum_max", maxLeaseQuotaSum);
    out.put(
        "cold_share_max",
        cluster.fleet().servers().stream()
            .mapToDouble(server -> cluster.fleet().ruleCheck().maxWarmupLimitShare(server.id()))
            .max()
            .orElse(0));
    out.put("rules_broken", cluster.fleet().ruleCheck().countViolations()).put("seed", seed);
    return out;
  }

  /**
   * Updates the highest sum of the quotas that the running processes have under their leases. The
   * processes are asked one after another.
   */
  private void recordLeaseQuotas() throws IOException {
    maxLeaseQuotaSum =
        Math.max(
            maxLeaseQuotaSum,
            cluster.leaseQuotas().values().stream().mapToDouble(quota -> quota).sum());
  }

  private boolean hasConverged() {
    return IntStream.range(0, NODES).allMatch(member -> cluster.allReportState(member, "alive"))
        && cluster.viewsEqual();
  }

  /** Returns how many bytes in datagrams the process that has sent the most has sent so far. */
  private double maxBytesSent() {
    return IntStream.range(0, NODES)
        .mapToDouble(node -> cluster.datagramBytesSent(node))
        .max()
        .orElse(0);
  }

  /** Returns how often the processes have declared a member dead that is not excluded. */
  private int countDeathDeclarationsExcept(List<Integer> excluded) throws IOException {
    int deaths = 0;
    for (int member = 0; member < NODES; member++) {
      deaths += excluded.contains(member) ? 0 : (int) cluster.countDeathDeclarations(member);
    }
    return deaths;
  }

  private static long median(List<Double> values) {
    List<Double> sorted = new ArrayList<>(values);
    Collections.sort(sorted);
    return Math.round(sorted.get(sorted.size() / 2));
  }
}
