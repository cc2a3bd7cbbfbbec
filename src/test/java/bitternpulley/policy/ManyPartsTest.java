package bitternpulley.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Queries that need a part of every section of a large fleet. */
class ManyPartsTest {
  /** Rounds of which the cheapest counts, so that nothing else on the machine decides. */
  private static final int ROUNDS = 20;

  /**
   * What a part of a large query may cost, as a multiple of one of a small: looking at all for each
   * would make it 8.
   */
  private static final double MOST = 4;

  private static Rig fleet(int cells) {
    Settings of =
        Rig.settings(
            Rig.kind(Settings.Idempotency.IDEMPOTENT, 1000, 3000, 0, 1, 0),
            false,
            Rig.rules(false, 0, 0),
            2);
    Rig rig =
        new Rig(
            new Settings(
                of.self(),
                of.instances(),
                of.zone(),
                of.tick(),
                false,
                of.classes(),
                of.tenants(),
                1,
                false,
                new Settings.Layout(cells, cells, 2, 1),
                new Settings.Limits(4, 100_000, true, false, true, 500, 250),
                of.rules(),
                of.costs()));
    rig.list(
        Router.ListKind.REMEMBERED,
        IntStream.range(0, cells)
            .mapToObj(c -> Rig.member("s" + c, c, Router.ServerState.LIVE, 0))
            .toArray(Router.Endpoint[]::new));
    return rig;
  }

  /** Processor time of the answers to one query that asks every section, ns a part. */
  private static double costOfAPart(int parts) {
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    double least = Double.POSITIVE_INFINITY;
    for (int round = 0; round < ROUNDS; round++) {
      Rig rig = fleet(parts);
      rig.query(1, 3000, IntStream.range(0, parts).toArray());
      List<Rig.Send> sent = List.copyOf(rig.sends);
      assertEquals(parts, sent.size());
      rig.now = 20;
      long before = threads.getCurrentThreadCpuTime();
      for (Rig.Send s : sent) {
        rig.policy.onAttemptEnded(
            new Router.AttemptEnded(s.part(), 0, s.server(), Router.Outcome.OK, 20), rig.now, rig);
        rig.policy.completeBatch(rig.now, rig);
      }
      least = Math.min(least, threads.getCurrentThreadCpuTime() - before);
      assertEquals(List.of("whole 1 @20"), rig.ends);
    }
    return least / parts;
  }

  /**
   * Guards against an aggregator whose processor time goes with the square of the sections that the
   * fleet has.
   */
  @Test
  void anAnswerCostsNoMoreWhereAQueryHasManyParts() {
    costOfAPart(1000);
    costOfAPart(2000);
    double small = costOfAPart(250);
    double large = costOfAPart(2000);
    assertTrue(large < MOST * small, large + " ns a part of 2,000, " + small + " of 250");
  }

  /** Guards against a part that waits for the others' next look though it has just failed. */
  @Test
  void aPartThatFailsAmongManyIsSentElsewhereAtOnce() {
    Rig rig = fleet(60);
    rig.query(1, 3000, IntStream.range(0, 60).toArray());
    rig.to(5);
    rig.end(11, 0, Router.Outcome.OK);
    rig.end(17, 0, Router.Outcome.ERROR);
    assertEquals(61, rig.sends.size());
    assertEquals(
        new Rig.Send(17, rig.sends.get(60).server(), 5, rig.sends.get(60).timeout()),
        rig.sends.get(60));
  }
}
