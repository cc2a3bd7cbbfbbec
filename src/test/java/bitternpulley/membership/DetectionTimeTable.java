package bitternpulley.membership;

import java.util.Arrays;
import java.util.Locale;
import java.util.Random;
import java.util.stream.IntStream;

/**
 * The table of docs/membership.md, from virtual time: {@code make table-membership}. The plain form
 * from the same seeds.
 */
final class DetectionTimeTable {
  private static final double SETTLED = 30_000;

  private DetectionTimeTable() {}

  /**
   * The whole table; or one line of it: {@code detect MEMBERS SEEDS}, {@code churn MEMBERS}, {@code
   * deaths MEMBERS LOSS MS}.
   */
  public static void main(String[] args) {
    if (args.length > 0) {
      int members = Integer.parseInt(args[1]);
      switch (args[0]) {
        case "detect" -> detection(members, Integer.parseInt(args[2]), false);
        case "churn" -> churn(members);
        case "deaths" ->
            falseDeaths(
                members, Double.parseDouble(args[2]), 1, Double.parseDouble(args[3]), false);
        default -> throw new IllegalArgumentException(args[0] + " is no line of the table");
      }
      System.exit(0);
    }
    int[][] sizes = {{10, 1000}, {100, 100}, {1000, 1}};
    for (int[] size : sizes) {
      for (boolean plain : new boolean[] {false, true}) {
        detection(size[0], size[1], plain);
      }
    }
    for (boolean plain : new boolean[] {false, true}) {
      for (double loss : new double[] {0, 0.05, 0.2}) {
        falseDeaths(10, loss, 20, 600_000, plain);
        falseDeaths(100, loss, 2, 300_000, plain);
      }
    }
    churn(500);
    churn(1000);
    memory();
    System.exit(0);
  }

  /** One in ten a minute is started anew, for a minute. */
  private static void churn(int members) {
    World w = world(members, 1, false);
    w.run(SETTLED + 2.0 * members);
    w.verdicts.clear();
    for (int k = 0; k < members / 10; k++) {
      int goes = 7 * k % members;
      w.kill(goes);
      w.plan(w.now + 2000, () -> w.start(goes));
      w.run(600_000.0 / members);
    }
    double from = w.now;
    while (!churned(w, members) && w.now < from + 300_000) {
      w.run(2000);
    }
    double took = w.now - from;
    System.out.println(
        String.format(
            Locale.ROOT,
            "own, %d members, one in ten started anew in a minute: all known as they run after "
                + "%.0f ms more; %d verdicts of death",
            members,
            took,
            w.deaths().size()));
  }

  /** Whether all hold those that were started anew for the process that runs. */
  private static boolean churned(World w, int members) {
    return IntStream.range(0, members)
        .allMatch(
            j -> {
              java.util.List<MemberView> views = w.at(j).members();
              return IntStream.range(0, members / 10)
                  .map(k -> 7 * k % members)
                  .allMatch(i -> views.get(i).epoch() == w.at(i).epoch());
            });
  }

  private static void memory() {
    for (int members : new int[] {10, 1000}) {
      Membership[] many = new Membership[20];
      long before = used();
      for (int k = 0; k < many.length; k++) {
        many[k] =
            new Membership(
                0,
                new MemberMetadata("n0", "z0", "r", "b"),
                1,
                IntStream.range(0, members).boxed().toList(),
                MembershipSettings.DEFAULT,
                1,
                1e9);
        for (int i = 1; i < members; i++) {
          many[k].onMessage(
              new GossipMessage(
                  GossipMessage.Kind.SYNC,
                  i,
                  1_000_000,
                  0,
                  0,
                  0,
                  0,
                  java.util.List.of(
                      new GossipUpdate(
                          i,
                          1_000_000,
                          0,
                          MemberState.ALIVE,
                          -1,
                          new MemberMetadata("node-" + i, "zone", "region", "build"),
                          new MemberPayload(1, new byte[MemberPayload.MAX_BYTES])))),
              1e9);
        }
      }
      System.out.println(
          members
              + " members: "
              + (used() - before) / many.length / members
              + " bytes a member, all heard of ("
              + many[0].members().size()
              + ")");
    }
  }

  private static long used() {
    System.gc();
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  private static World world(int members, long seed, boolean plain) {
    return plain
        ? new World(
            members,
            seed,
            (number, epoch, chance, now) ->
                new PlainDetector(number, members, epoch, MembershipSettings.DEFAULT, chance, now))
        : new World(members, seed, MembershipSettings.DEFAULT);
  }

  /** From a kill until all live members know. */
  private static void detection(int members, int seeds, boolean plain) {
    double[] took = new double[seeds];
    double messages = 0;
    double others = 0;
    for (int s = 0; s < seeds; s++) {
      World w = world(members, s + 1, plain);
      w.run(SETTLED + 2.0 * members);
      long before = w.sent;
      w.run(10_000);
      messages += (w.sent - before) / 10.0 / members / seeds;
      int killed = new Random(s).nextInt(members);
      w.verdicts.clear();
      w.kill(killed);
      took[s] = w.until(120_000, "all know", () -> w.allHold(killed, MemberState.DEAD));
      others += w.deaths().stream().filter(v -> v.of() != killed).count();
    }
    Arrays.sort(took);
    System.out.println(
        String.format(
            Locale.ROOT,
            "%s, %d members, %d seeds: all know after median %.0f p99 %.0f worst %.0f ms;"
                + " %.1f messages/s each; %.0f verdicts on others",
            plain ? "plain" : "own",
            members,
            seeds,
            took[seeds / 2],
            took[(int) Math.ceil(0.99 * seeds) - 1],
            took[seeds - 1],
            messages,
            others));
  }

  /** Nobody is killed; one in ten is paused for 1 to 5 s each minute. */
  private static void falseDeaths(int members, double loss, int seeds, double ms, boolean plain) {
    long deaths = 0;
    for (int s = 0; s < seeds; s++) {
      World w = world(members, s + 1, plain);
      w.run(SETTLED);
      w.verdicts.clear();
      w.loss = loss;
      Random random = new Random(s);
      for (double t = 0; t < ms; t += 60_000) {
        for (int i = 0; i < members / 10; i++) {
          w.pause(random.nextInt(members), 1000 + random.nextInt(4000));
        }
        w.run(60_000);
      }
      deaths += w.deaths().size();
    }
    double days = seeds * members * ms / 86_400_000;
    System.out.println(
        String.format(
            Locale.ROOT,
            "%s, %d members, loss %.2f: %.0f verdicts of death an instance-day (%d in %.2f)",
            plain ? "plain" : "own",
            members,
            loss,
            deaths / days,
            deaths,
            days));
  }
}
