package bitternpulley.broker;

import bitternpulley.routing.LimitsBuilder;
import bitternpulley.routing.QueryClassBuilder;
import bitternpulley.routing.Router;
import bitternpulley.routing.RulesBuilder;
import bitternpulley.routing.Settings;
import bitternpulley.routing.SettingsBuilder;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.IntStream;

/**
 * A hundred reducers that share the same servers, in virtual time. Each reducer knows only its own
 * number and the number of instances, so the load on a server is counted over all of them.
 */
final class FleetHarness {
  /** Work of each part, in ms. */
  static final double WORK = 40;

  static final double WARMUP_START_FRACTION = 0.2;

  /** Time until a started server is warm, in ms. */
  static final double WARMUP_TIME = 17_000;

  /**
   * Work within {@link #OVERLOAD_WINDOW}, as a multiple of a server's speed, above which the server
   * is overloaded.
   */
  static final double OVERLOAD_MULTIPLE = 2;

  /** Length of the window in which work is counted to detect overload, in ms. */
  static final double OVERLOAD_WINDOW = 1000;

  private static final int INSTANCES = 100;
  private static final int SERVERS = 20;
  private static final int SHARDS = 2 * SERVERS;
  private static final int PARTS = 4;
  private static final double TIME_LEFT = 1500;

  private record ScheduledEvent(double time, int instance, Event event) {}

  private final PriorityQueue<ScheduledEvent> scheduledEvents =
      new PriorityQueue<>(Comparator.comparingDouble(ScheduledEvent::time));
  private final List<Reducer> fleet = new ArrayList<>();
  private final Map<String, List<Double>> attemptTimes = new HashMap<>();
  private final Map<String, Integer> unsentCancellations = new HashMap<>();
  private int answered;
  private double now = 0;

  FleetHarness() {
    for (int instance = 0; instance < INSTANCES; instance++) {
      fleet.add(new Reducer(settings(instance), 7 + instance, now));
      submit(instance, TestServers.live(SERVERS));
    }
  }

  private static Settings settings(int self) {
    return new SettingsBuilder()
        .selfIndex(self)
        .instances(INSTANCES)
        .zone(self % 2)
        .classes(List.of(new QueryClassBuilder().latencyObjective(500).deadline(TIME_LEFT).build()))
        .layout(new Settings.Layout(SHARDS, SERVERS, 2, 1))
        .limits(new LimitsBuilder().maxPending(500).build())
        .rules(
            new RulesBuilder()
                .warmupStartFraction(WARMUP_START_FRACTION)
                .warmupTime(WARMUP_TIME)
                .overloadMultiple(OVERLOAD_MULTIPLE)
                .overloadWindow(OVERLOAD_WINDOW)
                .build())
        .costs(new Settings.Costs(0.05, 0.08))
        .build();
  }

  double now() {
    return now;
  }

  /** Number of requests that have their final answer. */
  int answered() {
    return answered;
  }

  /** Number of times that an instance cancelled the unsent attempts to a server. */
  int unsentCancellations(String server) {
    return unsentCancellations.getOrDefault(server, 0);
  }

  /** Submits an event to every instance. */
  void submitToAll(Event event) {
    for (int instance = 0; instance < INSTANCES; instance++) {
      submit(instance, event);
    }
  }

  private void submit(int instance, Event event) {
    for (Effect effect : fleet.get(instance).reduce(event, now)) {
      perform(instance, effect);
    }
  }

  private void perform(int instance, Effect effect) {
    if (effect instanceof Effect.StartAttempt start) {
      attemptTimes.computeIfAbsent(start.server(), server -> new ArrayList<>()).add(now);
      Event ended = new Event.AttemptEnded(start.id(), Router.Outcome.OK, new TestValue("answer"));
      scheduledEvents.add(new ScheduledEvent(now + WORK, instance, ended));
    } else if (effect instanceof Effect.ScheduleEvent scheduled) {
      scheduledEvents.add(
          new ScheduledEvent(Math.max(now, scheduled.time()), instance, scheduled.event()));
    } else if (effect instanceof Effect.CancelUnsentTo cancel) {
      unsentCancellations.merge(cancel.server(), 1, Integer::sum);
    } else if (effect instanceof Effect.CancelAttempt cancel) {
      scheduledEvents.add(
          new ScheduledEvent(now, instance, new Event.AttemptCancelled(cancel.id())));
    } else if (effect instanceof Effect.Reply) {
      answered++;
    }
  }

  /**
   * Schedules a request every {@code interval} ms until {@code until}, each for adjacent shards and
   * at a random instance; returns the number of requests.
   */
  int scheduleRequests(Random random, double interval, double until) {
    int count = 0;
    for (double time = now; time < until; time += interval) {
      int firstShard = random.nextInt(SHARDS);
      int[] shards = IntStream.range(0, PARTS).map(i -> (firstShard + i) % SHARDS).toArray();
      int instance = random.nextInt(INSTANCES);
      Request request = new RequestBuilder(++count).timeLeft(TIME_LEFT).shards(shards).build();
      scheduledEvents.add(new ScheduledEvent(time, instance, new Event.RequestReceived(request)));
    }
    return count;
  }

  /** Runs all events that are due up to {@code until}. */
  void run(double until) {
    while (!scheduledEvents.isEmpty() && scheduledEvents.peek().time() <= until) {
      ScheduledEvent next = scheduledEvents.poll();
      now = Math.max(now, next.time());
      submit(next.instance(), next.event());
    }
    now = until;
  }

  /**
   * The maximum work in ms that was sent to a server within any overload window that starts between
   * {@code from} and {@code until}.
   */
  double maxWorkInWindow(String server, double from, double until) {
    List<Double> times =
        attemptTimes.getOrDefault(server, List.of()).stream()
            .filter(time -> time >= from && time < until)
            .toList();
    long maxAttempts =
        times.stream()
            .mapToLong(
                start ->
                    times.stream()
                        .filter(time -> time >= start && time < start + OVERLOAD_WINDOW)
                        .count())
            .max()
            .orElse(0);
    return WORK * maxAttempts;
  }
}
