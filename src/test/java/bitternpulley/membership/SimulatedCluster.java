package bitternpulley.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.IntStream;

/**
 * Runs many instances in virtual time. The simulated network loses, delays and duplicates messages
 * at random, by seed, and paths can be cut in one or both directions. Times are ms.
 */
final class SimulatedCluster {
  private static final double MIN_DELAY_MS = 0.5;
  private static final double POLL_MS = 50;

  /** A change of {@code member}'s state in the view of {@code observer}. */
  record StateChange(
      int observer, int member, MemberState previousState, MemberState newState, double time) {}

  private record ScheduledTask(double dueAt, long sequence, Runnable task) {}

  /** A simulated instance: {@link Membership}, or a detector to compare it with. */
  interface Instance {
    List<MembershipAction> tick(double now);

    List<MembershipAction> onMessage(GossipMessage message, double now);

    MemberState stateOf(int number);

    double tickInterval();
  }

  /** Creates an instance whenever a member starts. */
  interface InstanceFactory {
    Instance create(int number, long epoch, long seed, double now);
  }

  private record MembershipInstance(Membership membership) implements Instance {
    @Override
    public List<MembershipAction> tick(double now) {
      return membership.tick(now);
    }

    @Override
    public List<MembershipAction> onMessage(GossipMessage message, double now) {
      return membership.onMessage(message, now);
    }

    @Override
    public MemberState stateOf(int number) {
      return membership.stateOf(number);
    }

    @Override
    public double tickInterval() {
      return membership.tickInterval();
    }
  }

  private static final class Node {
    Instance instance;
    boolean isRunning;
    double pausedUntil;
    int starts;
    double clockOffset;
    double deliveryDelay;

    boolean isCurrentProcess(int startNumber) {
      return isRunning && starts == startNumber;
    }
  }

  private final long seed;
  private final InstanceFactory factory;
  private final Random random;
  private final List<Node> nodes = new ArrayList<>();
  private final Set<Long> cuts = new HashSet<>();
  private final PriorityQueue<ScheduledTask> tasks =
      new PriorityQueue<>(
          Comparator.comparingDouble(ScheduledTask::dueAt)
              .thenComparingLong(ScheduledTask::sequence));
  private final List<StateChange> stateChanges = new ArrayList<>();
  private final List<MembershipAction.MemberIgnored> warnings = new ArrayList<>();
  private NetworkConditions network = NetworkConditions.NORMAL;
  private Consumer<GossipMessage> messageObserver = message -> {};
  private long sentMessages;
  private long scheduledTasks;
  private double now = 1_000_000_000;

  /** Creates a cluster of {@link Membership} instances. */
  SimulatedCluster(int size, long seed, MembershipSettings settings) {
    this(
        size,
        seed,
        (number, epoch, instanceSeed, now) ->
            new MembershipInstance(
                new Membership(
                    number,
                    new MemberMetadata("n" + number, "z" + number % 2, "r", "b"),
                    epoch,
                    IntStream.range(0, size).boxed().toList(),
                    settings,
                    instanceSeed,
                    now)));
  }

  /** Creates a cluster of instances from the factory. */
  SimulatedCluster(int size, long seed, InstanceFactory factory) {
    this.seed = seed;
    this.factory = factory;
    random = new Random(seed);
    IntStream.range(0, size).forEach(number -> nodes.add(new Node()));
    IntStream.range(0, size).forEach(this::start);
  }

  long seed() {
    return seed;
  }

  double now() {
    return now;
  }

  int size() {
    return nodes.size();
  }

  /** The state machine of a member; the cluster must consist of {@link Membership} instances. */
  Membership member(int number) {
    return ((MembershipInstance) nodes.get(number).instance).membership();
  }

  long sentMessages() {
    return sentMessages;
  }

  /** All state changes since the start or the last {@link #clearStateChanges}. */
  List<StateChange> stateChanges() {
    return stateChanges;
  }

  /** All warnings about ignored members so far. */
  List<MembershipAction.MemberIgnored> warnings() {
    return warnings;
  }

  void clearStateChanges() {
    stateChanges.clear();
  }

  /** The state changes by which members were declared dead. */
  List<StateChange> deathDeclarations() {
    return stateChanges.stream().filter(change -> change.newState() == MemberState.DEAD).toList();
  }

  /** Passes each message to the observer when it is sent. */
  void observeMessages(Consumer<GossipMessage> observer) {
    messageObserver = observer;
  }

  void setNetwork(NetworkConditions conditions) {
    network = conditions;
  }

  /** Starts a member, or restarts it as a new process. */
  void start(int number) {
    Node node = nodes.get(number);
    node.isRunning = true;
    node.starts++;
    int startNumber = node.starts;
    node.instance =
        factory.create(
            number,
            (long) (now + node.clockOffset) + node.starts,
            random.nextLong(),
            now + node.clockOffset);
    tick(number, startNumber);
  }

  private void tick(int number, int startNumber) {
    Node node = nodes.get(number);
    if (!node.isCurrentProcess(startNumber)) {
      return;
    }
    if (now < node.pausedUntil) {
      schedule(node.pausedUntil, () -> tick(number, startNumber));
      return;
    }
    perform(number, node.instance.tick(now + node.clockOffset));
    schedule(
        now + node.instance.tickInterval() + random.nextDouble(), () -> tick(number, startNumber));
  }

  /** Performs the actions that the state machine of a member returned. */
  void perform(int number, List<MembershipAction> actions) {
    for (MembershipAction action : actions) {
      if (action instanceof MembershipAction.Send send) {
        send(number, send);
      } else if (action instanceof MembershipAction.StateChanged change) {
        stateChanges.add(
            new StateChange(
                number, change.number(), change.previousState(), change.newState(), now));
      } else if (action instanceof MembershipAction.MemberIgnored warning) {
        warnings.add(warning);
      }
    }
  }

  private void send(int from, MembershipAction.Send send) {
    sentMessages++;
    messageObserver.accept(send.message());
    deliver(from, send.to(), send.message());
    if (random.nextDouble() < network.duplicationRate()) {
      deliver(from, send.to(), send.message());
    }
  }

  /** Passes a message to the network. */
  void deliver(int from, int to, GossipMessage message) {
    if (to >= nodes.size()
        || random.nextDouble() < network.lossRate()
        || cuts.contains(path(from, to))) {
      return;
    }
    Node receiver = nodes.get(to);
    int startNumber = receiver.starts;
    schedule(
        now + MIN_DELAY_MS + network.maxDelayMs() * random.nextDouble() + receiver.deliveryDelay,
        () -> receive(to, startNumber, message));
  }

  private void receive(int to, int startNumber, GossipMessage message) {
    Node node = nodes.get(to);
    if (!node.isCurrentProcess(startNumber)) {
      return;
    }
    if (now < node.pausedUntil) {
      // The message stays in the socket buffer.
      schedule(node.pausedUntil, () -> receive(to, startNumber, message));
    } else {
      perform(to, node.instance.onMessage(message, now + node.clockOffset));
    }
  }

  void schedule(double dueAt, Runnable task) {
    tasks.add(new ScheduledTask(dueAt, scheduledTasks++, task));
  }

  /** Advances the time. */
  SimulatedCluster run(double ms) {
    double end = now + ms;
    while (!tasks.isEmpty() && tasks.peek().dueAt() <= end) {
      ScheduledTask next = tasks.poll();
      now = Math.max(now, next.dueAt());
      next.task().run();
    }
    now = end;
    return this;
  }

  /**
   * Runs until the condition is true and returns the elapsed time. Fails with a message that
   * contains the seed if the condition is still false after {@code maxMs}.
   */
  double runUntil(double maxMs, String description, BooleanSupplier condition) {
    double startedAt = now;
    while (!condition.getAsBoolean()) {
      if (now > startedAt + maxMs) {
        throw new AssertionError(
            "seed " + seed + ": condition not met within " + maxMs + " ms: " + description);
      }
      run(POLL_MS);
    }
    return now - startedAt;
  }

  void kill(int number) {
    nodes.get(number).isRunning = false;
  }

  void pause(int number, double ms) {
    nodes.get(number).pausedUntil = now + ms;
  }

  /** Delays all messages to a member by {@code ms}, as if the member lacked CPU time. */
  void delayDelivery(int number, double ms) {
    nodes.get(number).deliveryDelay = ms;
  }

  void setClockOffset(int number, double ms) {
    nodes.get(number).clockOffset = ms;
  }

  /** Drops all messages from one member to the other from now on. */
  void cut(int from, int to) {
    cuts.add(path(from, to));
  }

  void heal(int from, int to) {
    cuts.remove(path(from, to));
  }

  /** Drops all messages between the members numbered below {@code limit} and the others. */
  void partitionAt(int limit) {
    for (int low = 0; low < limit; low++) {
      for (int high = limit; high < size(); high++) {
        cut(low, high);
        cut(high, low);
      }
    }
  }

  /** Ends all cuts. */
  void healAll() {
    cuts.clear();
  }

  private static long path(int from, int to) {
    return ((long) from << Integer.SIZE) | to;
  }

  boolean isRunning(int number) {
    return nodes.get(number).isRunning;
  }

  /** Whether all other running members see the member in this state. */
  boolean isSeenByAllAs(int number, MemberState state) {
    return IntStream.range(0, size())
        .filter(observer -> observer != number && isRunning(observer))
        .allMatch(observer -> nodes.get(observer).instance.stateOf(number) == state);
  }

  /** Whether all members are seen as alive by all other running members. */
  boolean allAlive() {
    return IntStream.range(0, size()).allMatch(number -> isSeenByAllAs(number, MemberState.ALIVE));
  }

  boolean viewsEqual() {
    return IntStream.range(0, size())
            .filter(this::isRunning)
            .map(number -> member(number).viewDigest())
            .distinct()
            .count()
        == 1;
  }
}
