package bitternpulley.broker;

import bitternpulley.routing.LimitsBuilder;
import bitternpulley.routing.QueryClassBuilder;
import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import bitternpulley.routing.SettingsBuilder;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/** A reducer before four live servers, without any dialect, on a clock that the test sets. */
final class ReducerHarness {
  static final long SEED = 7;
  static final double START = 1000;
  private static final int SERVERS = 4;

  /** Requests and their parts that may be pending, small enough for a test to reach. */
  private static final int MAX_PENDING = 8;

  private final Reducer reducer;
  private final List<Effect> effects = new ArrayList<>();
  private double now = START;

  ReducerHarness(Settings settings) {
    this(new Reducer(settings, SEED, START));
  }

  /** A harness whose reducer drives a router of the test. */
  ReducerHarness(Settings settings, Function<Router.Actions, Router> routerFactory) {
    this(new Reducer(settings, START, routerFactory));
  }

  private ReducerHarness(Reducer reducer) {
    this.reducer = reducer;
    submit(TestServers.live(SERVERS));
  }

  /** Settings of one query class that needs the complete answer. */
  static Settings settings(Settings.Idempotency idempotency) {
    return settings(new QueryClassBuilder().idempotency(idempotency).build(), limits().build());
  }

  static Settings settings(Settings.QueryClass queryClass, Settings.Limits limits) {
    return new SettingsBuilder()
        .classes(List.of(queryClass))
        .limits(limits)
        .costs(new Settings.Costs(0.05, 0))
        .build();
  }

  static LimitsBuilder limits() {
    return new LimitsBuilder().maxPending(MAX_PENDING);
  }

  double now() {
    return now;
  }

  void advance(double ms) {
    now += ms;
  }

  void advanceTo(double time) {
    now = time;
  }

  /** Reduces an event and returns the effects of it alone. */
  List<Effect> submit(Event event) {
    List<Effect> added = reducer.reduce(event, now);
    effects.addAll(added);
    return added;
  }

  /** Submits a request with one part for each of these shards. */
  List<Effect> request(long id, int... shards) {
    return submit(new Event.RequestReceived(new RequestBuilder(id).shards(shards).build()));
  }

  /** Ends the attempt of this position of all that were started. */
  void end(int index, Router.Outcome outcome, String value) {
    Payload payload = value == null ? null : new TestValue(value);
    submit(new Event.AttemptEnded(attempt(index).id(), outcome, payload));
  }

  /** Lets time pass, in which the policy of request 1 looks at it, until an attempt starts. */
  void awaitAttempt(int index) {
    for (int i = 0; i < 20 && attempts().size() <= index; i++) {
      advance(20);
      submit(new Event.AlarmFired("q1"));
    }
  }

  void forgetEffects() {
    effects.clear();
  }

  <T> List<T> all(Class<T> kind) {
    return effects.stream().filter(kind::isInstance).map(kind::cast).toList();
  }

  List<Effect.StartAttempt> attempts() {
    return all(Effect.StartAttempt.class);
  }

  Effect.StartAttempt attempt(int index) {
    return attempts().get(index);
  }

  List<Effect.CancelAttempt> cancellations() {
    return all(Effect.CancelAttempt.class);
  }

  List<Effect.Reply> replies() {
    return all(Effect.Reply.class);
  }

  Effect.Answer answer(int index) {
    return replies().get(index).answer();
  }

  int pendingRequests() {
    return reducer.pendingRequests();
  }
}
