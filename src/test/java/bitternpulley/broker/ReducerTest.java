package bitternpulley.broker;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The core without any wire, on a clock that the test sets. */
public class ReducerTest {
  private record Word(String text) implements Payload {}

  private final List<Effect> effects = new ArrayList<>();
  private Reducer reducer;
  private double now;

  private static Settings settings(Settings.Idempotency effect, double least) {
    return settings(effect, least, false);
  }

  private static Settings settings(Settings.Idempotency effect, double least, boolean copies) {
    Settings.QueryClass kind =
        new Settings.QueryClass("any", 1, 1000, 0, 3000, 0.3, effect, 400, false, least, 1, 0.8, 0);
    return new Settings(
        0,
        1,
        0,
        5,
        false,
        List.of(kind),
        List.of(),
        1,
        false,
        new Settings.Layout(4, 4, 2, 1),
        new Settings.Limits(4, 8, true, copies, true, 500, 250),
        new Settings.Rules(0.2, 10_000, 2, 1000, false, 0, 0, 0),
        new Settings.Costs(0.05, 0));
  }

  @BeforeMethod
  public void begin() {
    begin(settings(Settings.Idempotency.IDEMPOTENT, 1));
  }

  private void begin(Settings settings) {
    now = 1000;
    effects.clear();
    reducer = new Reducer(settings, 7, now);
    tell(
        new Event.ServersChanged(
            Router.ListKind.REMEMBERED,
            IntStream.range(0, 4)
                .mapToObj(i -> new Router.Endpoint("s" + i, i % 2, i, Router.ServerState.LIVE, 0))
                .toList()));
  }

  private void tell(Event event) {
    effects.addAll(reducer.reduce(event, now));
  }

  private void ask(long id, int... shards) {
    tell(
        new Event.RequestReceived(
            new Request(
                id,
                null,
                0,
                3000,
                false,
                Router.Terms.CLASS_DEFAULT,
                IntStream.of(shards)
                    .mapToObj(s -> new Request.QueryPart(s, 1.0 / shards.length, 0))
                    .toList(),
                null)));
  }

  private <T> List<T> all(Class<T> kind) {
    return effects.stream().filter(kind::isInstance).map(kind::cast).toList();
  }

  private Effect.StartAttempt start(int n) {
    return all(Effect.StartAttempt.class).get(n);
  }

  private Effect.Answer answer(int n) {
    return all(Effect.Reply.class).get(n).answer();
  }

  @Test
  public void aWholeRequestIsAnsweredOnceFromItsValues() {
    ask(1, 0, 1);
    tell(new Event.AttemptEnded(start(0).id(), Router.Outcome.OK, new Word("a")));
    assertEquals(reducer.pendingRequests(), 1);
    tell(new Event.AttemptEnded(start(1).id(), Router.Outcome.OK, new Word("b")));
    Effect.Answer.Answered answer = (Effect.Answer.Answered) answer(0);
    assertTrue(answer.complete());
    assertEquals(answer.values().toString(), "{0=Word[text=a], 1=Word[text=b]}");
    tell(new Event.AttemptEnded(start(1).id(), Router.Outcome.OK, new Word("again")));
    tell(new Event.ClientDisconnected(1));
    assertEquals(all(Effect.Reply.class).size(), 1);
    assertEquals(reducer.pendingRequests(), 0);
  }

  /**
   * Guards against two attempts out at once: the next one starts only when the server has been told
   * of the first.
   */
  @Test
  public void anOverdueAttemptIsFollowedOnlyOnceItsServerIsTold() {
    ask(1, 0);
    now += 200;
    tell(new Event.AttemptTimedOut(start(0).id()));
    assertEquals(all(Effect.CancelAttempt.class).size(), 1);
    tell(new Event.AttemptTimedOut(start(0).id()));
    assertEquals(all(Effect.CancelAttempt.class).size(), 1);
    assertEquals(all(Effect.StartAttempt.class).size(), 1);
    tell(new Event.AttemptCancelled(start(0).id()));
    assertEquals(all(Effect.StartAttempt.class).size(), 2);
    assertFalse(start(1).server().equals(start(0).server()));
  }

  /**
   * Guards against a part that a silent server sits on while its other attempts end unsent as
   * second copies.
   */
  @Test
  public void whereTheSitePermitsCopiesASilentServersPartIsCalledOffAndTriedElsewhere() {
    begin(settings(Settings.Idempotency.IDEMPOTENT, 1, true));
    for (int i = 0; i < 10; i++) {
      ask(100 + i, 2);
      now += 10;
      tell(new Event.AttemptEnded(start(i).id(), Router.Outcome.OK, new Word("a")));
    }
    effects.clear();
    ask(1, 0);
    // Looked at as often as its alarms may ring: each look must leave the part's attempts for those
    // that start.
    for (int i = 0; i < 40 && all(Effect.CancelAttempt.class).isEmpty(); i++) {
      now += 50;
      tell(new Event.AlarmFired("q1"));
    }
    assertEquals(all(Effect.StartAttempt.class).size(), 1);
    assertEquals(
        all(Effect.CancelAttempt.class).size(), 1, "called off before the client's time is over");
    tell(new Event.AttemptCancelled(start(0).id()));
    assertEquals(start(1).id().number(), 1);
    assertFalse(start(1).server().equals(start(0).server()));
    tell(new Event.AttemptEnded(start(1).id(), Router.Outcome.OK, new Word("b")));
    assertEquals(((Effect.Answer.Answered) answer(0)).values().toString(), "{0=Word[text=b]}");
  }

  @Test
  public void anAnswerThatCrossesTheWordCounts() {
    ask(1, 0);
    now += 200;
    tell(new Event.AttemptTimedOut(start(0).id()));
    tell(new Event.AttemptEnded(start(0).id(), Router.Outcome.OK, new Word("a")));
    tell(new Event.AttemptCancelled(start(0).id()));
    assertEquals(((Effect.Answer.Answered) answer(0)).values().toString(), "{0=Word[text=a]}");
  }

  @Test
  public void fourAttemptsAreTheMost() {
    ask(1, 0);
    for (int i = 0; i < 4; i++) {
      now += 10;
      tell(new Event.AttemptEnded(start(i).id(), Router.Outcome.ERROR, new Word("no")));
    }
    assertEquals(all(Effect.StartAttempt.class).size(), 4);
    Effect.Answer.Rejected refused = (Effect.Answer.Rejected) answer(0);
    assertTrue(refused.ending().mayHaveRun());
    assertFalse(refused.ending().late());
    assertEquals(refused.ending().missing().get(0).reason(), new Word("no"));
  }

  @Test
  public void aKeyedRequestThatMayHaveRunFailsAndIsNotRefused() {
    begin(settings(Settings.Idempotency.KEYED, 1));
    ask(1, 0);
    now += 500;
    tell(new Event.AttemptEnded(start(0).id(), Router.Outcome.RESET, null));
    assertEquals(all(Effect.StartAttempt.class).size(), 1, "its window has passed");
    assertTrue(answer(0) instanceof Effect.Answer.Failed);
  }

  /**
   * Guards against a repeat whose way to its server takes longer than what is left of its window.
   */
  @Test
  public void aKeyedRepeatSaysUntilWhenItMayBeSent() {
    begin(settings(Settings.Idempotency.KEYED, 1));
    ask(1, 0);
    assertEquals(start(0).sendBy(), Double.POSITIVE_INFINITY);
    now += 10;
    tell(new Event.AttemptEnded(start(0).id(), Router.Outcome.REJECTED, null));
    awaitStart(1);
    assertEquals(start(1).sendBy(), Double.POSITIVE_INFINITY, "the first never ran");
    double second = now;
    now += 10;
    tell(new Event.AttemptEnded(start(1).id(), Router.Outcome.ERROR, null));
    awaitStart(2);
    assertEquals(start(2).sendBy(), second + 400, "from the first that may have run");
  }

  private void awaitStart(int n) {
    for (int i = 0; i < 20 && all(Effect.StartAttempt.class).size() <= n; i++) {
      now += 20;
      tell(new Event.AlarmFired("q1"));
    }
  }

  /**
   * As in the simulator: at so many open, further queries are turned away; one that comes below
   * that is let in whole.
   */
  @Test
  public void atSoManyHeldFurtherQueriesAreRefusedUnsent() {
    ask(1, 0, 1, 2, 3);
    ask(2, 0, 1, 2, 3);
    assertEquals(all(Effect.Reply.class).size(), 0, "five of eight places were taken");
    int sent = all(Effect.StartAttempt.class).size();
    ask(3, 0);
    Effect.Answer.Rejected refused = (Effect.Answer.Rejected) answer(0);
    assertTrue(refused.retryAfter() > 0);
    assertFalse(refused.ending().mayHaveRun());
    assertEquals(all(Effect.StartAttempt.class).size(), sent);
  }

  /**
   * Guards against queries of many parts that keep all places though nearly all their parts are in.
   */
  @Test
  public void aPartThatIsInIsNotHeldAnyMore() {
    ask(1, 0, 1, 2, 3);
    ask(2, 0, 1, 2, 3);
    all(Effect.StartAttempt.class).stream()
        .limit(3)
        .forEach(s -> tell(new Event.AttemptEnded(s.id(), Router.Outcome.OK, new Word("v"))));
    int replies = all(Effect.Reply.class).size();
    ask(3, 0);
    assertEquals(all(Effect.Reply.class).size(), replies, "seven of eight places were taken");
    ask(4, 0);
    assertEquals(all(Effect.Reply.class).size(), replies + 1, "nine were");
  }

  @Test
  public void whoLeavesGetsNoAnswerAndItsPartsAreGivenUp() {
    ask(1, 0, 1);
    tell(new Event.ClientDisconnected(1));
    assertEquals(all(Effect.CancelAttempt.class).size(), 2);
    assertEquals(all(Effect.Reply.class).size(), 0);
    assertEquals(reducer.pendingRequests(), 0);
  }

  @Test
  public void aRequestAtFaultEndsAtTheFirstServerThatSaysSo() {
    ask(1, 0, 1);
    tell(new Event.RequestRejectedByServer(start(0).id(), new Word("parse")));
    assertEquals(answer(0), new Effect.Answer.InvalidRequest(new Word("parse")));
    assertEquals(all(Effect.StartAttempt.class).size(), 2);
    assertEquals(all(Effect.CancelAttempt.class).size(), 1);
    assertEquals(all(Effect.Reply.class).size(), 1);
  }

  @Test
  public void aClientsOwnTimeIsNoSignOfARetryAndWholeOnlyIsKept() {
    begin(settings(Settings.Idempotency.IDEMPOTENT, 0.5));
    for (int i = 0; i < 10; i++) {
      ask(10 + i, 0);
      tell(new Event.AttemptEnded(start(i).id(), Router.Outcome.OK, new Word("a")));
    }
    effects.clear();
    tell(
        new Event.RequestReceived(
            new Request(
                1,
                null,
                0,
                800,
                false,
                new Router.Terms(true, true),
                List.of(new Request.QueryPart(0, 0.5, 0), new Request.QueryPart(1, 0.5, 0)),
                null)));
    assertEquals(
        all(Effect.StartAttempt.class).size(),
        2,
        "a short time of its own is not refused as a spent one");
    tell(new Event.AttemptEnded(start(0).id(), Router.Outcome.OK, new Word("a")));
    now += 800;
    tell(new Event.AlarmFired("q1"));
    assertFalse(answer(0) instanceof Effect.Answer.Answered, "half is not the whole");
  }

  /** Where turns came late its answer leaves earlier, and is out of time all the same. */
  @Test
  public void anEndBroughtForwardForLateTurnsIsOutOfTime() {
    tell(
        new Event.RequestReceived(
            new Request(
                1,
                null,
                0,
                3000,
                false,
                new Router.Terms(true, true),
                List.of(new Request.QueryPart(0, 1, 0)),
                null,
                null,
                0,
                new Router.Lateness(0, 300))));
    now += 2700;
    tell(new Event.AlarmFired("q1"));
    assertTrue(((Effect.Answer.Rejected) answer(0)).ending().late());
  }

  /**
   * Guards against a client that waits for less than our own lead, and is told at once that its
   * time is over.
   */
  @Test
  public void oneWhoWaitsForVeryLittleIsNotLateFromTheStart() {
    tell(new Event.ServersChanged(Router.ListKind.COMPLETE, List.of()));
    tell(
        new Event.RequestReceived(
            new Request(
                1,
                null,
                0,
                80,
                false,
                Router.Terms.CLASS_DEFAULT,
                List.of(new Request.QueryPart(0, 1, 0)),
                null)));
    assertFalse(((Effect.Answer.Rejected) answer(0)).ending().late());
  }

  /**
   * Guards against parts that wait on the way to a server while it begins to drain, or leaves the
   * list.
   */
  @Test
  public void whatIsOutAtAServerThatTakesNothingNewIsTakenBack() {
    ask(1, 0);
    String first = start(0).server();
    Router.Endpoint drains =
        new Router.Endpoint(
            first, 0, Integer.parseInt(first.substring(1)), Router.ServerState.DRAINING, 0);
    tell(new Event.ServersChanged(Router.ListKind.CHANGES, List.of(drains)));
    assertEquals(all(Effect.CancelUnsentTo.class), List.of(new Effect.CancelUnsentTo(first)));
    tell(new Event.AttemptEnded(start(0).id(), Router.Outcome.NOT_SENT, null));
    String second = start(1).server();
    assertFalse(second.equals(first));
    tell(new Event.ServersChanged(Router.ListKind.COMPLETE, List.of(drains)));
    assertEquals(
        all(Effect.CancelUnsentTo.class),
        List.of(new Effect.CancelUnsentTo(first), new Effect.CancelUnsentTo(second)));
  }

  /**
   * Guards against very many parts, most of them long answered, each of which wakes the program
   * when its time is over.
   */
  @Test
  public void theAttemptsOfARequestShareAnAlarm() {
    ask(1, 0, 1, 2, 3);
    List<Effect.WakeAt> alarms = overdueAlarms();
    assertEquals(alarms.size(), 1);
    tell(new Event.AttemptEnded(start(0).id(), Router.Outcome.OK, new Word("a")));
    now = alarms.get(0).time();
    tell(alarms.get(0).event());
    assertEquals(
        all(Effect.CancelAttempt.class).stream().map(Effect.CancelAttempt::id).toList(),
        List.of(start(1).id(), start(2).id(), start(3).id()));
  }

  /**
   * Guards against an alarm that rings for an attempt which has ended and is not set anew for those
   * sent later.
   */
  @Test
  public void theSharedAlarmIsSetAnewForWhatIsOutLonger() {
    ask(1, 0, 1);
    double later = overdueAlarms().get(0).time() + 100;
    tell(new Event.AttemptTimedOut(start(0).id(), start(0).id().part(), 2));
    assertEquals(all(Effect.CancelAttempt.class).size(), 1);
    assertEquals(overdueAlarms().size(), 2);
    now = later;
    tell(overdueAlarms().get(1).event());
    assertEquals(all(Effect.CancelAttempt.class).size(), 2);
  }

  private List<Effect.WakeAt> overdueAlarms() {
    return all(Effect.WakeAt.class).stream()
        .filter(w -> w.event() instanceof Event.AttemptTimedOut)
        .toList();
  }

  /** Guards against sends for a client that has left, at a site where nothing may be called off. */
  @Test
  public void whereNothingMayBeCalledOffWhatIsUnsentIsTakenBackAsItsRequestEnds() {
    begin(
        withLimits(
            settings(Settings.Idempotency.IDEMPOTENT, 1),
            new Settings.Limits(4, 8, false, false, true, 500, 250)));
    ask(1, 0, 1);
    assertEquals(all(Effect.StartAttempt.class).size(), 2);
    tell(new Event.ClientDisconnected(1));
    assertEquals(
        all(Effect.CancelUnsent.class).stream().map(Effect.CancelUnsent::id).toList(),
        all(Effect.StartAttempt.class).stream().map(Effect.StartAttempt::id).toList());
    assertEquals(all(Effect.CancelAttempt.class), List.of());
    all(Effect.StartAttempt.class)
        .forEach(s -> tell(new Event.AttemptEnded(s.id(), Router.Outcome.NOT_SENT, null)));
    assertEquals(all(Effect.Reply.class), List.of());
  }

  private static Settings withLimits(Settings s, Settings.Limits limits) {
    return new Settings(
        s.self(),
        s.instances(),
        s.zone(),
        s.tick(),
        s.endpointsOnRequest(),
        s.classes(),
        s.tenants(),
        s.overQuotaWeight(),
        s.weightByWork(),
        s.layout(),
        limits,
        s.rules(),
        s.costs());
  }

  /** The module, but for one call, counted from the first query on, which throws. */
  private static Router failingAt(Router module, int call, AtomicInteger calls) {
    return (Router)
        Proxy.newProxyInstance(
            Router.class.getClassLoader(),
            new Class<?>[] {Router.class},
            (p, method, given) -> {
              if ((calls.get() > 0 || method.getName().equals("onQuery"))
                  && calls.incrementAndGet() == call) {
                throw new IllegalStateException("as asked for, in " + method.getName());
              }
              try {
                return method.invoke(module, given);
              } catch (InvocationTargetException e) {
                throw e.getCause();
              }
            });
  }

  /**
   * Plays two queries to their end, where each attempt is answered after 50 ms; effects that hand
   * events back are obeyed.
   */
  private int playWithAFaultAt(int call) {
    Settings settings = settings(Settings.Idempotency.IDEMPOTENT, 1);
    AtomicInteger calls = new AtomicInteger();
    now = 1000;
    effects.clear();
    reducer =
        new Reducer(
            settings,
            now,
            recorder ->
                failingAt(
                    new bitternpulley.policy.RoutingPolicy(settings, 7, now, recorder),
                    call,
                    calls));
    tell(
        new Event.ServersChanged(
            Router.ListKind.REMEMBERED,
            IntStream.range(0, 4)
                .mapToObj(i -> new Router.Endpoint("s" + i, i % 2, i, Router.ServerState.LIVE, 0))
                .toList()));
    ask(1, 0, 1);
    ask(2, 2, 3);
    record Due(double at, Event event) {}
    PriorityQueue<Due> due = new PriorityQueue<>(java.util.Comparator.comparingDouble(Due::at));
    for (int seen = 0; ; ) {
      for (; seen < effects.size(); seen++) {
        Effect e = effects.get(seen);
        if (e instanceof Effect.StartAttempt s) {
          due.add(
              new Due(now + 50, new Event.AttemptEnded(s.id(), Router.Outcome.OK, new Word("v"))));
        } else if (e instanceof Effect.CancelAttempt a) {
          due.add(new Due(now + 1, new Event.AttemptCancelled(a.id())));
        } else if (e instanceof Effect.WakeAt w) {
          due.add(new Due(Math.max(w.time(), now), w.event()));
        }
      }
      Due next = due.poll();
      if (next == null || next.at() > 10_000) {
        break;
      }
      now = next.at();
      tell(next.event());
      for (Effect.Reply r : all(Effect.Reply.class)) {
        assertTrue(
            now <= 4000 || !effects.subList(seen, effects.size()).contains(r),
            "late, with a fault at call " + call);
      }
    }
    assertEquals(
        all(Effect.Reply.class).stream().map(r -> r.request().id()).sorted().toList(),
        List.of(1L, 2L),
        "one final answer each, with a fault at call " + call);
    assertEquals(reducer.pendingRequests(), 0);
    return calls.get();
  }

  /**
   * Guards against requests that are lost since deciding on them failed, at whatever step of their
   * way.
   */
  @Test
  public void whateverStepFailsEachRequestHasItsOneFinalAnswerInTime() {
    int calls = playWithAFaultAt(-1);
    assertTrue(calls > 10, "steps: " + calls);
    for (int call = 1; call <= calls; call++) {
      playWithAFaultAt(call);
    }
  }
}
