package bitternpulley.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import bitternpulley.trace.TraceDigest;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Every message and every change of state in seeded runs with loss, cuts, pauses and restarts, as a
 * digest of numbers.
 */
class MembershipTraceTest {
  private static final Path RECORDED = Path.of("src/test/resources/traces/membership.txt");

  private interface Script {
    void plan(World world);
  }

  private static String play(int count, long seed, Script script) {
    World world = new World(count, seed, MembershipSettings.DEFAULT);
    TraceDigest digest = new TraceDigest();
    world.watcher =
        m ->
            digest.add(
                world.now,
                m.kind().ordinal(),
                m.from(),
                m.epoch(),
                m.incarnation(),
                m.sequence(),
                m.target(),
                m.viewDigest(),
                m.payloadDigest(),
                m.updates().size(),
                m.updates().stream()
                    .mapToLong(
                        r ->
                            31L * r.number()
                                + 7L * r.epoch()
                                + r.incarnation() * 5L
                                + r.state().ordinal() * 3L
                                + r.accuser())
                    .sum());
    script.plan(world);
    world.run(60_000);
    world.verdicts.forEach(
        v -> digest.add(v.by(), v.of(), v.before().ordinal(), v.now().ordinal(), v.at()));
    return digest.end();
  }

  @Test
  void actsAsRecorded() throws IOException {
    List<String> seen = new ArrayList<>();
    for (long seed = 1; seed <= 3; seed++) {
      seen.add("calm " + seed + " " + play(9, seed, w -> {}));
      seen.add(
          "loss "
              + seed
              + " "
              + play(
                  9,
                  seed,
                  w -> {
                    w.loss = 0.15;
                    w.repeated = 0.05;
                    w.mostDelay = 60;
                  }));
      seen.add(
          "cuts "
              + seed
              + " "
              + play(
                  9,
                  seed,
                  w -> {
                    for (int i = 0; i < 4; i++) {
                      int one = i;
                      w.plan(w.now + 8000 + 500 * i, () -> w.cut(one, 8 - one, true));
                      w.plan(w.now + 8000 + 500 * i, () -> w.cut(8, one, true));
                      w.plan(w.now + 35_000 + 500 * i, () -> w.cut(8, one, false));
                    }
                  }));
      seen.add(
          "pauses "
              + seed
              + " "
              + play(
                  9,
                  seed,
                  w -> {
                    w.plan(w.now + 8000, () -> w.pause(2, 4000));
                    w.plan(w.now + 20_000, () -> w.pause(3, 25_000));
                    w.slow(4, 700);
                    w.clockAhead(5, 250);
                  }));
      seen.add(
          "restarts "
              + seed
              + " "
              + play(
                  9,
                  seed,
                  w -> {
                    w.plan(w.now + 8000, () -> w.kill(1));
                    w.plan(w.now + 25_000, () -> w.start(1));
                    w.plan(w.now + 30_000, () -> w.kill(6));
                    w.plan(w.now + 30_500, () -> w.start(6));
                    w.plan(w.now + 40_000, () -> w.perform(7, w.at(7).leave(w.now)));
                    w.plan(w.now + 10_000, () -> w.at(3).publish(new byte[] {1, 2, 3}));
                  }));
    }
    assertEquals(Files.readString(RECORDED).trim(), String.join("\n", seen));
  }
}
