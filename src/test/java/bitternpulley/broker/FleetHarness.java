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
 * A hundred reducers before the same servers, in virtual time. None knows of the others but by its
 * number and theirs, so the effect on a server is counted over all of them.
 */
final class FleetHarness {
  /** Ms of work of each part. */
  static final double WORK = 40;

  static final double WARMUP_START_FRACTION = 0.2;

  /** Ms until a started server is warm. */
  static final double WARMUP_TIME = 17_000;

  /** Work within the window, in multiples of a server's speed, beyond which it is overloaded. */
  static final double OVERLOAD_MULTIPLE = 2;

  /** Ms in which the work for the overload is counted. */
  static final double OVERLOAD_WINDOW = 1000;

  private static final int INSTANCES = 100;
  private static final int SERVERS = 20;
  private static final int SHARDS = 2 * SERVERS;
  private static final int PARTS = 4;
  private static final double TIME_LEFT = 1500;

  private record Due(double at, int instance, Event event) {}

  private final PriorityQueue<Due> due = new PriorityQueue<>(Comparator.comparingDouble(Due::at));
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
        .self(self)
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

  /** Requests that have their final answer. */
  int answered() {
    return answered;
  }

  /** How often instances cancelled what was unsent to a server. */
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
      due.add(new Due(now + WORK, instance, ended));
    } else if (effect instanceof Effect.WakeAt wake) {
      due.add(new Due(Math.max(now, wake.time()), instance, wake.event()));
    } else if (effect instanceof Effect.CancelUnsentTo cancel) {
      unsentCancellations.merge(cancel.server(), 1, Integer::sum);
    } else if (effect instanceof Effect.CancelAttempt cancel) {
      due.add(new Due(now, instance, new Event.AttemptCancelled(cancel.id())));
    } else if (effect instanceof Effect.Reply) {
      answered++;
    }
  }

  /**
   * Plans requests for neighbouring shards at random instances, one every so many ms until a time;
   * returns their number.
   */
  int planRequests(Random random, double interval, double until) {
    int planned = 0;
    for (double at = now; at < until; at += interval) {
      int first = random.nextInt(SHARDS);
      int[] shards = IntStream.range(0, PARTS).map(i -> (first + i) % SHARDS).toArray();
      int instance = random.nextInt(INSTANCES);
      Request request = new RequestBuilder(++planned).timeLeft(TIME_LEFT).shards(shards).build();
      due.add(new Due(at, instance, new Event.RequestReceived(request)));
    }
    return planned;
  }

  /** Plays everything that is due until a time. */
  void run(double until) {
    while (!due.isEmpty() && due.peek().at() <= until) {
      Due next = due.poll();
      now = Math.max(now, next.at());
      submit(next.instance(), next.event());
    }
    now = until;
  }

  /** The most work in ms that a server was sent in any overload window that starts in this time. */
  double mostWork(String server, double from, double until) {
    List<Double> times =
        attemptTimes.getOrDefault(server, List.of()).stream()
            .filter(time -> time >= from && time < until)
            .toList();
    long mostAttempts =
        times.stream()
            .mapToLong(
                start ->
                    times.stream()
                        .filter(time -> time >= start && time < start + OVERLOAD_WINDOW)
                        .count())
            .max()
            .orElse(0);
    return WORK * mostAttempts;
  }
}
