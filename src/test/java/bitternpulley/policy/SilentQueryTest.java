package bitternpulley.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A query whose section nobody can take in time is told so at once; while a stated event may change
 * that, it waits.
 */
class SilentQueryTest {
  private static Rig rig(double late, double least) {
    return rig(Settings.Idempotency.IDEMPOTENT, late, least, Rig.rules(false, 0, 0));
  }

  private static Rig rig(
      Settings.Idempotency effect, double late, double least, Settings.Rules rules) {
    Rig r =
        new Rig(Rig.settings(Rig.kind(effect, 2000, 6000, late, least, 0), false, rules, 2))
            .servers();
    for (int i = 0; i < 30; i++) {
      r.query(100 + i, 6000, new int[] {2});
      r.to(r.now + 100);
      r.end(10 * (100 + i), 0, Router.Outcome.OK);
    }
    r.ends.clear();
    return r;
  }

  private static void tell(Rig r, Router.ServerState state) {
    r.list(Router.ListKind.CHANGES, Rig.member("s0", 0, state, 0), Rig.member("s1", 1, state, 0));
  }

  private static String at(Rig r, String end, long query) {
    return end + " " + query + " @" + (long) r.now;
  }

  @ParameterizedTest
  @ValueSource(doubles = {0, 0.3})
  void refusedAtOnceWhileBothHoldersDrain(double late) {
    Rig r = rig(late, 1);
    tell(r, Router.ServerState.DRAINING);
    r.query(1, 6000, new int[] {0});
    assertEquals(List.of(at(r, "refuse", 1)), r.ends);
    r.query(2, 1586, new int[] {0, 2});
    assertEquals(at(r, "refuse", 2), r.ends.get(1));
  }

  /** An instance that has just started cannot tell a later try from a first one. */
  @Test
  void refusedAtOnceByAnInstanceThatKnowsNothing() {
    Rig r =
        new Rig(
                Rig.settings(
                    Rig.kind(Settings.Idempotency.IDEMPOTENT, 2000, 6000, 0.3, 1, 0),
                    false,
                    Rig.rules(false, 0, 0),
                    2))
            .servers();
    tell(r, Router.ServerState.GONE);
    r.query(1, 1586, new int[] {0, 2});
    assertEquals(List.of("refuse 1 @0"), r.ends);
  }

  /**
   * What was begun while there was a holder: a part that was turned away finds the other one gone
   * as well.
   */
  @Test
  void givenUpWithinALookOnceTheLastHolderIsGone() {
    Rig r = rig(0.3, 1);
    r.query(1, 6000, new int[] {0, 2});
    double told = r.now;
    tell(r, Router.ServerState.DRAINING);
    r.end(10, 0, Router.Outcome.REJECTED);
    r.to(told + 50);
    assertEquals(1, r.ends.size());
    assertTrue(r.ends.get(0).startsWith("refuse 1 @"), r.ends.toString());
    assertTrue(r.cancels.contains("11/0"), "what no longer serves is called off");
  }

  /** A keyed part that may have run is no refusal: trying again is not known to be harmless. */
  @Test
  void failsAtOnceWhereAPartMayHaveRun() {
    Rig r = rig(Settings.Idempotency.KEYED, 0.3, 1, Rig.rules(false, 0, 0));
    r.query(1, 6000, new int[] {0});
    double told = r.now;
    tell(r, Router.ServerState.DRAINING);
    r.end(10, 0, Router.Outcome.ERROR);
    r.to(told + 50);
    assertTrue(r.ends.get(0).startsWith("fail 1 @"), r.ends.toString());
  }

  /** Guards against a mend that gives up too soon: a trial is a stated event. */
  @Test
  void waitsForTheTrialOfAHolderThatWasDown() {
    Rig r = rig(0.3, 1);
    r.list(Router.ListKind.CHANGES, Rig.member("s1", 1, Router.ServerState.GONE, 0));
    r.query(1, 6000, new int[] {0});
    r.end(10, 0, Router.Outcome.UNREACHABLE);
    r.query(2, 6000, new int[] {0});
    assertEquals(List.of(), r.ends);
    r.to(r.now + 1000);
    assertTrue(r.sent(10) + r.sent(20) >= 2, "tried again once its trial is due");
  }

  /** The same for a full queue that moves on. */
  @Test
  void waitsForAFullHolder() {
    Rig r = rig(0.3, 1);
    r.list(Router.ListKind.CHANGES, Rig.member("s1", 1, Router.ServerState.GONE, 0));
    r.query(1, 6000, new int[] {0});
    r.end(10, 0, Router.Outcome.REJECTED);
    r.to(r.now + 600);
    assertEquals(2, r.sent(10));
    assertEquals(List.of(), r.ends);
  }

  /** Others' parts use up the budget for a cold server; it opens as the window passes. */
  @Test
  void waitsForRoomAtAColdHolder() {
    Rig r =
        rig(
            Settings.Idempotency.IDEMPOTENT,
            0.3,
            1,
            new Settings.Rules(0.2, 10_000, 2, 1000, false, 0, 0, 1000));
    r.list(
        Router.ListKind.CHANGES,
        Rig.member("s0", 0, Router.ServerState.LIVE, r.now),
        Rig.member("s1", 1, Router.ServerState.GONE, 0));
    for (int i = 1; i <= 12; i++) {
      r.query(i, 6000, new int[] {0});
    }
    long sent = r.sends.stream().filter(s -> s.part() >= 10 && s.part() <= 120).count();
    assertTrue(sent < 12, "the budget is used up: " + sent);
    assertEquals(List.of(), r.ends);
    r.to(r.now + 1500);
    assertTrue(r.sends.stream().filter(s -> s.part() >= 10 && s.part() <= 120).count() > sent);
  }

  @Test
  void answeredInPartWhereTheRestSuffices() {
    Rig r = rig(0.3, 0.7);
    tell(r, Router.ServerState.DRAINING);
    r.query(1, 6000, new int[] {0, 2}, 0.2, 0.8);
    assertEquals(List.of(), r.ends);
    r.to(r.now + 100);
    r.end(11, 0, Router.Outcome.OK);
    r.to(r.now + 2000);
    assertTrue(r.ends.get(0).startsWith("part 1 @"), r.ends.toString());
    assertFalse(r.ends.stream().anyMatch(e -> e.startsWith("refuse")));
  }

  /**
   * The bytes may have come that long before, and turns come late: its end is reckoned from there.
   */
  @Test
  void endsByTheClientsTimeThoughItLayUnread() {
    Rig r = rig(0.3, 1);
    r.policy.onQuery(
        new Router.Query(
            1,
            1,
            0,
            1,
            0,
            false,
            6000,
            0,
            Router.Terms.CLASS_DEFAULT,
            new Router.Lateness(150, 100)),
        r.now,
        r);
    double taken = r.now;
    r.parts(1, 10, new int[] {0});
    r.to(taken + 6000);
    assertEquals(List.of("refuse 1 @" + (long) (taken + 6000 - 250)), r.ends);
  }
}
