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
 * Many instances in virtual time, with a network that loses, delays, repeats and cuts by seed, one
 * way or both.
 */
final class World {
  record Verdict(int by, int of, MemberState before, MemberState now, double at) {}

  private record Due(double at, long order, Runnable task) {}

  /** What the world moves: the program's own state machine, or one to compare it with. */
  interface Instance {
    List<MembershipAction> tick(double now);

    List<MembershipAction> heard(GossipMessage message, double now);

    MemberState standing(int number);

    double tickEvery();
  }

  /** Makes an instance for a start: its number, epoch, seed, and time. */
  interface Maker {
    Instance make(int number, long epoch, long seed, double now);
  }

  private record Own(Membership membership) implements Instance {
    @Override
    public List<MembershipAction> tick(double now) {
      return membership.tick(now);
    }

    @Override
    public List<MembershipAction> heard(GossipMessage message, double now) {
      return membership.onMessage(message, now);
    }

    @Override
    public MemberState standing(int number) {
      return membership.stateOf(number);
    }

    @Override
    public double tickEvery() {
      return membership.tickInterval();
    }
  }

  private static final class Node {
    Instance instance;
    boolean up;
    double pausedUntil;
    int starts;
    double clockAhead;
    double late;
  }

  final List<Verdict> verdicts = new ArrayList<>();
  final long seed;
  double loss;
  double mostDelay = 3;
  double repeated;
  long sent;

  /** Is shown each message as it is sent. */
  Consumer<GossipMessage> watcher = message -> {};

  private final Maker maker;
  private final Random random;
  private final List<Node> nodes = new ArrayList<>();
  private final Set<Long> cuts = new HashSet<>();
  private final PriorityQueue<Due> due =
      new PriorityQueue<>(Comparator.comparingDouble(Due::at).thenComparingLong(Due::order));
  private long order;
  double now = 1_000_000_000;

  World(int count, long seed, MembershipSettings terms) {
    this(
        count,
        seed,
        (number, epoch, chance, now) ->
            new Own(
                new Membership(
                    number,
                    new MemberMetadata("n" + number, "z" + number % 2, "r", "b"),
                    epoch,
                    IntStream.range(0, count).boxed().toList(),
                    terms,
                    chance,
                    now)));
  }

  World(int count, long seed, Maker maker) {
    this.seed = seed;
    this.maker = maker;
    random = new Random(seed);
    IntStream.range(0, count).forEach(i -> nodes.add(new Node()));
    IntStream.range(0, count).forEach(this::start);
  }

  Membership at(int i) {
    return ((Own) nodes.get(i).instance).membership();
  }

  void start(int i) {
    Node n = nodes.get(i);
    n.up = true;
    n.starts++;
    int life = n.starts;
    n.instance =
        maker.make(
            i, (long) (now + n.clockAhead) + n.starts, random.nextLong(), now + n.clockAhead);
    tick(i, life);
  }

  private void tick(int i, int life) {
    Node n = nodes.get(i);
    if (!n.up || n.starts != life) {
      return;
    }
    if (now < n.pausedUntil) {
      plan(n.pausedUntil, () -> tick(i, life));
      return;
    }
    perform(i, n.instance.tick(now + n.clockAhead));
    plan(now + n.instance.tickEvery() + random.nextDouble(), () -> tick(i, life));
  }

  void perform(int by, List<MembershipAction> outputs) {
    for (MembershipAction o : outputs) {
      if (o instanceof MembershipAction.Send s) {
        sent++;
        watcher.accept(s.message());
        deliver(by, s.to(), s.message());
        if (random.nextDouble() < repeated) {
          deliver(by, s.to(), s.message());
        }
      } else if (o instanceof MembershipAction.StateChanged c) {
        verdicts.add(new Verdict(by, c.number(), c.before(), c.now(), now));
      }
    }
  }

  void deliver(int from, int to, GossipMessage message) {
    if (to >= nodes.size() || random.nextDouble() < loss || cuts.contains((long) from << 32 | to)) {
      return;
    }
    int life = nodes.get(to).starts;
    plan(
        now + 0.5 + mostDelay * random.nextDouble() + nodes.get(to).late,
        () -> arrive(to, life, message));
  }

  private void arrive(int to, int life, GossipMessage message) {
    Node n = nodes.get(to);
    if (n.up && n.starts == life) {
      if (now < n.pausedUntil) {
        plan(n.pausedUntil, () -> arrive(to, life, message)); // it lies in the socket
      } else {
        perform(to, n.instance.heard(message, now + n.clockAhead));
      }
    }
  }

  void plan(double at, Runnable task) {
    due.add(new Due(at, order++, task));
  }

  /** Lets so many ms pass. */
  World run(double ms) {
    double end = now + ms;
    while (!due.isEmpty() && due.peek().at() <= end) {
      Due next = due.poll();
      now = Math.max(now, next.at());
      next.task().run();
    }
    now = end;
    return this;
  }

  /** Runs until it holds, and returns after how many ms; fails, naming the seed, after so many. */
  double until(double most, String what, BooleanSupplier holds) {
    double from = now;
    while (!holds.getAsBoolean()) {
      if (now > from + most) {
        throw new AssertionError("seed " + seed + ": not within " + most + " ms: " + what);
      }
      run(50);
    }
    return now - from;
  }

  void kill(int i) {
    nodes.get(i).up = false;
  }

  void pause(int i, double ms) {
    nodes.get(i).pausedUntil = now + ms;
  }

  /** It comes to what it is sent so much later: a starved core. */
  void slow(int i, double ms) {
    nodes.get(i).late = ms;
  }

  void clockAhead(int i, double ms) {
    nodes.get(i).clockAhead = ms;
  }

  void cut(int from, int to, boolean on) {
    if (on) {
      cuts.add((long) from << 32 | to);
    } else {
      cuts.remove((long) from << 32 | to);
    }
  }

  boolean up(int i) {
    return nodes.get(i).up;
  }

  int size() {
    return nodes.size();
  }

  /** Whether each that runs holds this member so. */
  boolean allHold(int of, MemberState standing) {
    return IntStream.range(0, size())
        .filter(i -> i != of && up(i))
        .allMatch(i -> nodes.get(i).instance.standing(of) == standing);
  }

  boolean viewsEqual() {
    return IntStream.range(0, size())
            .filter(this::up)
            .map(i -> at(i).viewDigest())
            .distinct()
            .count()
        == 1;
  }

  /** Verdicts of death on one that ran. */
  List<Verdict> deaths() {
    return verdicts.stream().filter(v -> v.now() == MemberState.DEAD).toList();
  }
}
