package bitternpulley.membership;

import bitternpulley.membership.GossipMessage.Kind;
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
 * Measures the time that the membership protocol takes for one tick, of which a protocol interval
 * has ten, and for one ping that is answered.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class MembershipBenchmark {
  private static final double START = 1.8e12;
  private static final long EPOCH = (long) START;

  /** Number of members. */
  @Param({"10", "1000"})
  public int members;

  private Membership membership;
  private double now;
  private int lastSender;

  /** Creates a member that has received a message from each other member. */
  @Setup
  public void start() {
    now = START;
    membership =
        new Membership(
            0,
            new MemberMetadata("n0", "z0", "r", "b"),
            EPOCH,
            IntStream.range(0, members).boxed().toList(),
            MembershipSettings.DEFAULT,
            1,
            now);
    for (int sender = 1; sender < members; sender++) {
      membership.onMessage(message(Kind.SYNC, sender), now);
    }
  }

  private GossipMessage message(Kind kind, int sender) {
    return new GossipMessage(
        kind,
        sender,
        EPOCH,
        0,
        1,
        0,
        membership.viewDigest(),
        List.of(new GossipUpdate(sender, EPOCH, 0, MemberState.ALIVE, -1, null)));
  }

  private int nextSender() {
    lastSender = lastSender % (members - 1) + 1;
    return lastSender;
  }

  /** A tick after a message from the next member in turn, so that no member becomes suspect. */
  @Benchmark
  public List<MembershipAction> tick() {
    now += 100;
    membership.onMessage(message(Kind.SYNC, nextSender()), now);
    return membership.tick(now);
  }

  /** A ping that is answered. */
  @Benchmark
  public List<MembershipAction> answerPing() {
    now += 1;
    return membership.onMessage(message(Kind.PING, nextSender()), now);
  }
}
