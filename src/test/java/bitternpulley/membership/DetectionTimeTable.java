package bitternpulley.membership;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.stream.IntStream;

/**
 * Prints the tables of docs/membership.md, measured in virtual time: {@code make table-membership}.
 * {@link BasicSwimDetector} runs with the same seeds for comparison. Times are ms.
 */
final class DetectionTimeTable {
  private static final double SETTLING_MS = 30_000;
  private static final double SETTLING_MS_PER_MEMBER = 2;
  private static final double MS_PER_MINUTE = 60_000;
  private static final double MS_PER_DAY = 86_400_000;
  private static final double IDLE_S = 10;
  private static final int MEMORY_INSTANCES = 20;

  private enum Detector {
    OWN("own"),
    BASIC_SWIM("plain");

    final String label;

    Detector(String label) {
      this.label = label;
    }

    SimulatedCluster cluster(int members, long seed) {
      return switch (this) {
        case OWN -> new SimulatedCluster(members, seed, MembershipSettings.DEFAULT);
        case BASIC_SWIM ->
            new SimulatedCluster(
                members,
                seed,
                (number, epoch, instanceSeed, now) ->
                    new BasicSwimDetector(
                        number, members, epoch, MembershipSettings.DEFAULT, instanceSeed, now));
      };
    }
  }

  /** Fleet size and number of seeds of one measurement. */
  private record Sample(int members, int seeds) {}

  private static final List<Sample> DETECTION_SAMPLES =
      List.of(new Sample(10, 1000), new Sample(100, 100), new Sample(1000, 1));

  private DetectionTimeTable() {}

  /**
   * Prints all tables, or with arguments only one line: {@code detect MEMBERS SEEDS}, {@code churn
   * MEMBERS} or {@code deaths MEMBERS LOSS MS}.
   */
  public static void main(String[] args) {
    if (args.length > 0) {
      printLine(args);
    } else {
      printAll();
    }
    System.exit(0);
  }

  private static void printLine(String[] args) {
    int members = Integer.parseInt(args[1]);
    switch (args[0]) {
      case "detect" -> printDetection(new Sample(members, Integer.parseInt(args[2])), Detector.OWN);
      case "churn" -> printChurn(members);
      case "deaths" ->
          printFalseDeaths(
              new Sample(members, 1),
              Double.parseDouble(args[2]),
              Double.parseDouble(args[3]),
              Detector.OWN);
      default -> throw new IllegalArgumentException("unknown table line: " + args[0]);
    }
  }

  private static void printAll() {
    for (Sample sample : DETECTION_SAMPLES) {
      for (Detector detector : Detector.values()) {
        printDetection(sample, detector);
      }
    }
    for (Detector detector : Detector.values()) {
      for (double lossRate : new double[] {0, 0.05, 0.2}) {
        printFalseDeaths(new Sample(10, 20), lossRate, 600_000, detector);
        printFalseDeaths(new Sample(100, 2), lossRate, 300_000, detector);
      }
    }
    printChurn(500);
    printChurn(1000);
    printMemory();
  }

  private static void print(String format, Object... values) {
    System.out.println(String.format(Locale.ROOT, format, values));
  }

  /**
   * Restarts one member in ten within a minute, and prints the time until all members know the new
   * processes.
   */
  private static void printChurn(int members) {
    SimulatedCluster cluster = Detector.OWN.cluster(members, 1);
    cluster.run(SETTLING_MS + SETTLING_MS_PER_MEMBER * members);
    cluster.clearStateChanges();
    int[] restarted = IntStream.range(0, members / 10).map(index -> 7 * index % members).toArray();
    for (int number : restarted) {
      cluster.kill(number);
      cluster.schedule(cluster.now() + 2000, () -> cluster.start(number));
      cluster.run(10 * MS_PER_MINUTE / members);
    }
    double from = cluster.now();
    while (!allKnowProcesses(cluster, restarted) && cluster.now() < from + 300_000) {
      cluster.run(2000);
    }
    print(
        "own, %d members, one in ten restarted within a minute: all running processes known after "
            + "a further %.0f ms; %d death declarations",
        members, cluster.now() - from, cluster.deathDeclarations().size());
  }

  /** Whether all members know the running processes of the members with these numbers. */
  private static boolean allKnowProcesses(SimulatedCluster cluster, int[] numbers) {
    return IntStream.range(0, cluster.size())
        .allMatch(
            observer -> {
              List<MemberView> views = cluster.member(observer).members();
              return IntStream.of(numbers)
                  .allMatch(number -> views.get(number).epoch() == cluster.member(number).epoch());
            });
  }

  private static void printMemory() {
    for (int members : new int[] {10, 1000}) {
      Membership[] instances = new Membership[MEMORY_INSTANCES];
      long before = usedMemory();
      Arrays.setAll(instances, index -> memberThatKnowsAll(members));
      print(
          "%d members: %d bytes per member, all known (%d)",
          members,
          (usedMemory() - before) / instances.length / members,
          instances[0].members().size());
    }
  }

  private static Membership memberThatKnowsAll(int members) {
    long epoch = 1_000_000;
    double now = 1e9;
    Membership membership =
        new Membership(
            0,
            new MemberMetadata("n0", "z0", "r", "b"),
            1,
            IntStream.range(0, members).boxed().toList(),
            MembershipSettings.DEFAULT,
            1,
            now);
    for (int number = 1; number < members; number++) {
      GossipUpdate update =
          new GossipUpdate(
              number,
              epoch,
              0,
              MemberState.ALIVE,
              GossipUpdate.NO_ACCUSER,
              new MemberMetadata("node-" + number, "zone", "region", "build"),
              new MemberPayload(1, new byte[MemberPayload.MAX_BYTES]));
      membership.onMessage(GossipMessages.sync(number, epoch, update), now);
    }
    return membership;
  }

  private static long usedMemory() {
    System.gc();
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  /** Prints the time from the kill of a member until all running members see it as dead. */
  private static void printDetection(Sample sample, Detector detector) {
    int members = sample.members();
    int seeds = sample.seeds();
    double[] detectionMs = new double[seeds];
    double messages = 0;
    double falseDeclarations = 0;
    for (int run = 0; run < seeds; run++) {
      SimulatedCluster cluster = detector.cluster(members, run + 1);
      cluster.run(SETTLING_MS + SETTLING_MS_PER_MEMBER * members);
      long before = cluster.sentMessages();
      cluster.run(1000 * IDLE_S);
      messages += (cluster.sentMessages() - before) / IDLE_S / members / seeds;
      int killed = new Random(run).nextInt(members);
      cluster.clearStateChanges();
      cluster.kill(killed);
      detectionMs[run] =
          cluster.runUntil(
              120_000,
              "all see the member as dead",
              () -> cluster.isSeenByAllAs(killed, MemberState.DEAD));
      falseDeclarations +=
          cluster.deathDeclarations().stream()
              .filter(declaration -> declaration.member() != killed)
              .count();
    }
    Arrays.sort(detectionMs);
    print(
        "%s, %d members, %d seeds: seen as dead by all after median %.0f p99 %.0f worst %.0f ms;"
            + " %.1f messages/s per member; %.0f death declarations of others",
        detector.label,
        members,
        seeds,
        detectionMs[seeds / 2],
        detectionMs[(int) Math.ceil(0.99 * seeds) - 1],
        detectionMs[seeds - 1],
        messages,
        falseDeclarations);
  }

  /**
   * Prints the rate of false death declarations. No member is killed; each minute one member in ten
   * is paused for 1 to 5 s.
   */
  private static void printFalseDeaths(
      Sample sample, double lossRate, double ms, Detector detector) {
    int members = sample.members();
    long deaths = 0;
    for (int run = 0; run < sample.seeds(); run++) {
      SimulatedCluster cluster = detector.cluster(members, run + 1);
      cluster.run(SETTLING_MS);
      cluster.clearStateChanges();
      cluster.setNetwork(NetworkConditions.NORMAL.withLossRate(lossRate));
      runWithPauses(cluster, new Random(run), ms);
      deaths += cluster.deathDeclarations().size();
    }
    double days = sample.seeds() * members * ms / MS_PER_DAY;
    print(
        "%s, %d members, loss %.2f: %.0f death declarations per instance-day (%d in %.2f)",
        detector.label, members, lossRate, deaths / days, deaths, days);
  }

  private static void runWithPauses(SimulatedCluster cluster, Random random, double ms) {
    int members = cluster.size();
    for (double elapsed = 0; elapsed < ms; elapsed += MS_PER_MINUTE) {
      for (int paused = 0; paused < members / 10; paused++) {
        cluster.pause(random.nextInt(members), 1000 + random.nextInt(4000));
      }
      cluster.run(MS_PER_MINUTE);
    }
  }
}
