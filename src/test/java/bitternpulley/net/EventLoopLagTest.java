package bitternpulley.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * In virtual time: beats and turns as they come to a loop that is on time, is stopped, or has a
 * long turn.
 */
public class EventLoopLagTest {
  private EventLoopLag lag;

  @BeforeMethod
  public void fresh() {
    lag = new EventLoopLag();
  }

  private double run(double from, double to) {
    for (double t = from; t <= to; t += EventLoopLag.TICK_INTERVAL_MS) {
      lag.turnStarted(t);
      lag.tick(t);
    }
    return to;
  }

  @Test
  public void onTimeNothingCountsAsUnread() {
    EventLoopLag fresh = new EventLoopLag();
    fresh.turnStarted(5000);
    assertEquals(fresh.unreadMs(5000), 0.0, "no beat yet");
    for (double t = 0; t < 1000; t += 27) {
      fresh.tick(t);
      fresh.turnStarted(t + 13);
      assertEquals(fresh.unreadMs(t + 13), 0.0);
    }
    assertEquals(fresh.worstLagMs(1000), 0.0);
  }

  @Test
  public void whatIsReadAfterAStopMayHaveLainThereSinceTheLastLook() {
    run(0, 1000);
    lag.turnStarted(1150);
    assertEquals(lag.unreadMs(1150), 150.0);
    // Whether the beat or a socket gets the first turn after the stop makes no difference, nor how
    // many come before.
    lag.tick(1150);
    lag.turnStarted(1170);
    assertEquals(lag.unreadMs(1170), 170.0, "still being read");
    run(1175, 1400);
    assertEquals(lag.unreadMs(1400), 0.0, "all of it is read by now");
    assertEquals(lag.worstLagMs(1400), 150.0);
    run(1400, 20_000);
    assertEquals(lag.worstLagMs(20_000), 0.0, "forgotten");
  }

  /**
   * A turn that is long, as code not compiled makes it, hides what comes meanwhile just as a stop
   * does.
   */
  @Test
  public void aLongTurnCountsFromItsBeginning() {
    EventLoopLag one = new EventLoopLag();
    one.tick(0);
    one.turnStarted(10);
    one.turnStarted(410);
    assertEquals(one.unreadMs(410), 400.0);
  }

  /** Alarms may be on time all the while that one look's finds are dealt with, turn by turn. */
  @Test
  public void whatComesWhileOneLooksFindsAreDealtWithLiesUnread() {
    run(0, 1000);
    lag.socketTurnStarted(1000, 900);
    assertEquals(lag.unreadMs(1000), 0.0, "it was waited for");
    double t = 1000;
    for (int i = 0; i < 50; i++, t += 4) {
      lag.socketTurnStarted(t, 800 + i);
      lag.socketTurnEnded(t + 3);
      lag.turnStarted(t + 3.5);
      lag.tick(t + 3.5);
    }
    lag.socketTurnStarted(t, 990);
    assertEquals(lag.unreadMs(t), 200.0, "since the look at 1,000");
    lag.socketTurnEnded(t + 1);
    lag.socketTurnStarted(t + 2, 1150);
    assertEquals(
        lag.unreadMs(t + 2), 52.0, "what was waited for from 1,150 on was found by a later look");
    lag.socketTurnEnded(t + 3);
    lag.socketTurnStarted(t + 20, 0);
    assertEquals(lag.unreadMs(t + 20), 0.0);
  }

  /**
   * Guards against an instance that is always a little late and comes to count its queries as
   * minutes old.
   */
  @Test
  public void lastingLatenessDoesNotAddUp() {
    EventLoopLag slow = new EventLoopLag();
    for (double t = 0; t < 60_000; t += 80) {
      slow.turnStarted(t);
      slow.tick(t);
      assertTrue(slow.unreadMs(t) <= 160, "at " + t + ": " + slow.unreadMs(t));
    }
    assertEquals(slow.worstLagMs(60_000), 80.0);
  }
}
