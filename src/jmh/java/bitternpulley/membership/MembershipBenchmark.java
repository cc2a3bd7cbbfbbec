package bitternpulley.membership;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * What membership takes of an instance: a tick, ten of which come in an interval, and a probe of
 * another that is answered.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class MembershipBenchmark {
  private static final double NOW = 1.8e12;

  @Param({"10", "1000"})
  public int members;

  private Membership membership;
  private double now;
  private int from;

  @Setup
  public void members() {
    now = NOW;
    membership =
        new Membership(
            0,
            new MemberMetadata("n0", "z0", "r", "b"),
            (long) NOW,
            IntStream.range(0, members).boxed().toList(),
            MembershipSettings.USUAL,
            1,
            now);
    for (int i = 1; i < members; i++) {
      membership.heard(message(Message.Kind.SYNC, i), now);
    }
  }

  private Message message(Message.Kind kind, int sender) {
    return new Message(
        kind,
        sender,
        (long) NOW,
        0,
        1,
        0,
        membership.view(),
        List.of(new GossipUpdate(sender, (long) NOW, 0, Standing.ALIVE, -1, null)));
  }

  /** All others are heard now and then, so that none is suspect. */
  @Benchmark
  public List<Output> tick() {
    now += 100;
    from = from % (members - 1) + 1;
    membership.heard(message(Message.Kind.SYNC, from), now);
    return membership.tick(now);
  }

  @Benchmark
  public List<Output> probed() {
    now += 1;
    from = from % (members - 1) + 1;
    return membership.heard(message(Message.Kind.PING, from), now);
  }
}
