package bitternpulley.leases;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.IntStream;

/**
 * A simulation of members and witnesses in virtual time, each with a clock of its own rate and
 * offset. At every step it samples the sum of the quotas of all processes. Times are ms.
 */
final class SimulatedLeaseCluster {
  private static final double TICK_MS = 100;
  private static final double MAX_CLOCK_DRIFT = 0.004;
  private static final double MIN_DELAY_MS = 0.5;

  private record ScheduledTask(double time, long order, Runnable task) {}

  /** The quota of one process at one time. */
  private record QuotaSample(double time, double quota) {}

  private static final class Node {
    Leases leases;
    boolean isRunning;
    int starts;
    double pausedUntil;
    double clockRate;
    double clockOffset;
    long epoch;

    /** Quotas of the current process within the last effect time. */
    ArrayDeque<QuotaSample> samples = new ArrayDeque<>();

    /** Quotas of each earlier process; each adds to the total on its own. */
    final List<ArrayDeque<QuotaSample>> earlierSamples = new ArrayList<>();

    double localTime(double now) {
      return clockOffset + clockRate * now;
    }
  }

  private final LeaseTerms terms;
  private final long seed;
  private final Random random;
  private final List<Node> nodes = new ArrayList<>();
  private final PriorityQueue<ScheduledTask> tasks =
      new PriorityQueue<>(
          Comparator.comparingDouble(ScheduledTask::time).thenComparingLong(ScheduledTask::order));
  private final boolean[][] cuts;
  private double lossRate;
  private double maxDelayMs = 3;
  private long scheduledTasks;
  private double now;
  private double maxTotalQuota;

  SimulatedLeaseCluster(LeaseTerms terms, long seed) {
    this.terms = terms;
    this.seed = seed;
    random = new Random(seed);
    cuts = new boolean[terms.members()][terms.members()];
    for (int number = 0; number < terms.members(); number++) {
      Node node = new Node();
      node.clockRate = 1 + MAX_CLOCK_DRIFT * (2 * random.nextDouble() - 1);
      node.clockOffset = 1e7 * random.nextDouble();
      nodes.add(node);
      start(number);
    }
  }

  long seed() {
    return seed;
  }

  /** The largest sum of the quotas of all processes within one effect time so far. */
  double maxTotalQuota() {
    return maxTotalQuota;
  }

  void setNetwork(double newLossRate, double newMaxDelayMs) {
    lossRate = newLossRate;
    maxDelayMs = newMaxDelayMs;
  }

  /** Starts a member, or restarts it as a new process. */
  void start(int number) {
    Node node = nodes.get(number);
    node.isRunning = true;
    node.pausedUntil = now;
    node.starts++;
    int start = node.starts;
    node.earlierSamples.add(node.samples);
    node.samples = new ArrayDeque<>();
    // One start in four gets a lower epoch, as if the clock had been set back.
    node.epoch += random.nextInt(4) == 0 ? -1 : 2;
    node.leases = new Leases(number, terms);
    node.leases.start(node.epoch, node.localTime(now));
    tick(number, start);
  }

  private void tick(int number, int start) {
    Node node = nodes.get(number);
    if (!node.isRunning || node.starts != start) {
      return;
    }
    if (now >= node.pausedUntil) {
      send(number, node.leases.tick(node.localTime(now)));
    }
    schedule(Math.max(node.pausedUntil, now + TICK_MS), () -> tick(number, start));
  }

  private void send(int from, List<Leases.OutgoingMessage> messages) {
    for (Leases.OutgoingMessage message : messages) {
      int copies = random.nextInt(20) == 0 ? 2 : 1;
      for (int copy = 0; copy < copies; copy++) {
        deliver(from, message);
      }
    }
  }

  private void deliver(int from, Leases.OutgoingMessage message) {
    if (random.nextDouble() >= lossRate && !cuts[from][message.to()]) {
      schedule(
          now + MIN_DELAY_MS + maxDelayMs * random.nextDouble(),
          () -> receive(message.to(), message.message()));
    }
  }

  /**
   * Delivers a message. A paused process receives it when it resumes; a message to a dead member is
   * lost unless the member has been restarted by the time of its arrival.
   */
  private void receive(int to, LeaseMessage message) {
    Node node = nodes.get(to);
    if (!node.isRunning) {
      return;
    }
    if (now < node.pausedUntil) {
      schedule(node.pausedUntil, () -> receive(to, message));
    } else {
      send(to, node.leases.onMessage(message, node.localTime(now)));
    }
  }

  private void schedule(double time, Runnable task) {
    tasks.add(new ScheduledTask(time, scheduledTasks++, task));
  }

  /** Advances the time by {@code ms}. */
  SimulatedLeaseCluster run(double ms) {
    double end = now + ms;
    while (now < end) {
      double stepEnd = Math.min(end, now + TICK_MS / 2);
      while (!tasks.isEmpty() && tasks.peek().time() <= stepEnd) {
        ScheduledTask next = tasks.poll();
        now = Math.max(now, next.time());
        next.task().run();
        sampleQuotas();
      }
      now = stepEnd;
      sampleQuotas();
    }
    return this;
  }

  /** Adds up the largest quota of each process, dead or alive, within the last effect time. */
  private void sampleQuotas() {
    double total = 0;
    for (int number = 0; number < nodes.size(); number++) {
      Node node = nodes.get(number);
      if (node.isRunning && now >= node.pausedUntil) {
        node.samples.add(new QuotaSample(now, quota(number)));
      }
      total += maxWithinEffectTime(node.samples);
      node.earlierSamples.removeIf(ArrayDeque::isEmpty);
      for (ArrayDeque<QuotaSample> earlier : node.earlierSamples) {
        total += maxWithinEffectTime(earlier);
      }
    }
    maxTotalQuota = Math.max(maxTotalQuota, total);
  }

  private double maxWithinEffectTime(ArrayDeque<QuotaSample> samples) {
    while (!samples.isEmpty() && samples.peek().time() <= now - terms.effectTime()) {
      samples.poll();
    }
    return samples.stream().mapToDouble(QuotaSample::quota).max().orElse(0);
  }

  double quota(int number) {
    Node node = nodes.get(number);
    return node.leases.status(node.localTime(now)).quota();
  }

  void kill(int number) {
    nodes.get(number).isRunning = false;
  }

  void pause(int number, double ms) {
    nodes.get(number).pausedUntil = now + ms;
  }

  boolean isRunning(int number) {
    return nodes.get(number).isRunning;
  }

  /** Drops all messages from one member to another. */
  void cut(int from, int to) {
    cuts[from][to] = true;
  }

  /** Cuts the link from one member to another, or heals it if it is cut. */
  void toggleCut(int from, int to) {
    cuts[from][to] = !cuts[from][to];
  }

  /** Cuts the links between these members and all others in both directions. */
  void partition(List<Integer> members) {
    setPartition(members, true);
  }

  /** Heals the links between these members and all others in both directions. */
  void healPartition(List<Integer> members) {
    setPartition(members, false);
  }

  private void setPartition(List<Integer> members, boolean isCut) {
    for (int member : members) {
      IntStream.range(0, nodes.size())
          .filter(other -> !members.contains(other))
          .forEach(
              other -> {
                cuts[member][other] = isCut;
                cuts[other][member] = isCut;
              });
    }
  }
}
