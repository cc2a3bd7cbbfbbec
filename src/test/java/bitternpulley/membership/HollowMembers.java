package bitternpulley.membership;

import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.IntStream;

/**
 * Many members of the program's own state machine in virtual time, for what they send: whoever
 * measures sees each message.
 */
public final class HollowMembers {
  private static final double SETTLED_MS = 30_000;
  private static final double SETTLED_MS_EACH = 2;

  private final World world;

  /** So many that have found each other. */
  public HollowMembers(int count, long seed) {
    world = new World(count, seed, MembershipSettings.DEFAULT);
    world.run(SETTLED_MS + SETTLED_MS_EACH * count);
  }

  /** Shows each message that is sent from now on. */
  public HollowMembers watch(Consumer<GossipMessage> watcher) {
    world.watcher = watcher;
    return this;
  }

  /** Lets so many ms pass. */
  public void run(double ms) {
    world.run(ms);
  }

  /** Restarts so many, one after the other, evenly over so many ms. */
  public void churn(int restarts, double ms) {
    Random random = new Random(world.seed);
    for (int i = 0; i < restarts; i++) {
      int goes = random.nextInt(world.size());
      world.kill(goes);
      world.plan(world.now + 2000, () -> world.start(goes));
      world.run(ms / restarts);
    }
  }

  /** Kills a part of them at once: every so many-th. */
  public void loseEach(int nth) {
    IntStream.range(0, world.size()).filter(i -> i % nth == 0).forEach(world::kill);
  }

  /** Drops so large a share of the messages from now on. */
  public void lose(double share) {
    world.loss = share;
  }

  /** Verdicts of death so far on members that ran. */
  public long deaths() {
    return world.deaths().size();
  }
}
