package bitternpulley.broker;

import bitternpulley.routing.LimitsBuilder;
import bitternpulley.routing.QueryClassBuilder;
import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import bitternpulley.routing.SettingsBuilder;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/** A reducer with four live servers and no protocol adapter, on a clock that the test sets. */
final class ReducerHarness {
  static final long SEED = 7;
  static final double START = 1000;
  private static final int SERVERS = 4;

  /** Limit on pending requests and parts, small enough for a test to reach. */
  private static final int MAX_PENDING = 8;

  private final Reducer reducer;
  private final List<Effect> effects = new ArrayList<>();
  private double now = START;

  ReducerHarness(Settings settings) {
    this(new Reducer(settings, SEED, START));
  }

  /** Creates a harness whose reducer drives a router that the test supplies. */
  ReducerHarness(Settings settings, Function<Router.Actions, Router> routerFactory) {
    this(new Reducer(settings, START, routerFactory));
  }

  private ReducerHarness(Reducer reducer) {
    this.reducer = reducer;
    submit(TestServers.live(SERVERS));
  }

  /** Settings with one query class that requires a complete answer. */
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

  /** Reduces an event and returns only the effects of this event. */
  List<Effect> submit(Event event) {
    List<Effect> added = reducer.reduce(event, now);
    effects.addAll(added);
    return added;
  }

  /** Submits a request with one part for each of these shards. */
  List<Effect> request(long id, int... shards) {
    return submit(new Event.RequestReceived(new RequestBuilder(id).shards(shards).build()));
  }

  /** Ends the attempt at this position among all attempts that were started. */
  void end(int index, Router.Outcome outcome, String value) {
    Payload payload = value == null ? null : new TestValue(value);
    submit(new Event.AttemptEnded(attempt(index).id(), outcome, payload));
  }

  /**
   * Advances the time and fires the alarm of request 1 until the attempt at this position starts.
   */
  void awaitAttempt(int index) {
    for (int i = 0; i < 20 && attempts().size() <= index; i++) {
      advance(20);
      submit(new Event.AlarmFired("q1"));
    }
  }

  void clearEffects() {
    effects.clear();
  }

  <T> List<T> effectsOf(Class<T> kind) {
    return effects.stream().filter(kind::isInstance).map(kind::cast).toList();
  }

  List<Effect.StartAttempt> attempts() {
    return effectsOf(Effect.StartAttempt.class);
  }

  Effect.StartAttempt attempt(int index) {
    return attempts().get(index);
  }

  List<Effect.CancelAttempt> cancellations() {
    return effectsOf(Effect.CancelAttempt.class);
  }

  List<Effect.Reply> replies() {
    return effectsOf(Effect.Reply.class);
  }

  Effect.Answer answer(int index) {
    return replies().get(index).answer();
  }

  int pendingRequests() {
    return reducer.pendingRequests();
  }
}
