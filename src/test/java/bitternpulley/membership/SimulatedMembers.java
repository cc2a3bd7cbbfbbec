package bitternpulley.membership;

import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.IntStream;

/**
 * Members without a broker or network: the production state machines run in virtual time, and an
 * observer can count their messages. Times are ms.
 */
public final class SimulatedMembers {
  private static final double SETTLING_MS = 30_000;
  private static final double SETTLING_MS_PER_MEMBER = 2;
  private static final double DOWN_MS = 2000;

  private final SimulatedCluster cluster;

  /** Creates members and runs them until they have found each other. */
  public SimulatedMembers(int count, long seed) {
    cluster = new SimulatedCluster(count, seed, MembershipSettings.DEFAULT);
    cluster.run(SETTLING_MS + SETTLING_MS_PER_MEMBER * count);
  }

  /** Passes each message that is sent from now on to the observer. */
  public SimulatedMembers observeMessages(Consumer<GossipMessage> observer) {
    cluster.observeMessages(observer);
    return this;
  }

  /** Advances the time. */
  public void run(double ms) {
    cluster.run(ms);
  }

  /** Restarts randomly chosen members one after the other, evenly distributed over {@code ms}. */
  public void runWithRestarts(int restarts, double ms) {
    Random random = new Random(cluster.seed());
    for (int restart = 0; restart < restarts; restart++) {
      int number = random.nextInt(cluster.size());
      cluster.kill(number);
      cluster.schedule(cluster.now() + DOWN_MS, () -> cluster.start(number));
      cluster.run(ms / restarts);
    }
  }

  /** Kills every n-th member at the same time. */
  public void killEvery(int nth) {
    IntStream.range(0, cluster.size()).filter(number -> number % nth == 0).forEach(cluster::kill);
  }

  /** Drops this fraction of the messages from now on. */
  public void setLossRate(double rate) {
    cluster.setNetwork(NetworkConditions.NORMAL.withLossRate(rate));
  }
}
