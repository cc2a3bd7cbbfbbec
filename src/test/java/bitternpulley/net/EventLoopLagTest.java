package bitternpulley.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests the lag measurement with ticks and turns in virtual time, for a loop that is on time, a
 * loop that is paused and a loop with a long turn.
 */
public class EventLoopLagTest {
  private EventLoopLag lag;

  @BeforeMethod
  public void createLag() {
    lag = new EventLoopLag();
  }

  private double runOnTime(double from, double to) {
    for (double now = from; now <= to; now += EventLoopLag.TICK_INTERVAL_MS) {
      lag.turnStarted(now);
      lag.tick(now);
    }
    return to;
  }

  @Test
  public void reportsNothingUnreadWhileOnTime() {
    EventLoopLag newLag = new EventLoopLag();
    newLag.turnStarted(5000);
    assertEquals(newLag.unreadMs(5000), 0.0, "no tick yet");
    for (double now = 0; now < 1000; now += 27) {
      newLag.tick(now);
      newLag.turnStarted(now + 13);
      assertEquals(newLag.unreadMs(now + 13), 0.0);
    }
    assertEquals(newLag.worstLagMs(1000), 0.0);
  }

  @Test
  public void countsUnreadTimeAfterAPauseFromTheTurnBeforeIt() {
    runOnTime(0, 1000);
    lag.turnStarted(1150);
    assertEquals(lag.unreadMs(1150), 150.0);
    // It makes no difference whether the tick or a socket has the first turn after the pause, or
    // how many turns follow.
    lag.tick(1150);
    lag.turnStarted(1170);
    assertEquals(lag.unreadMs(1170), 170.0, "still being read");
    runOnTime(1175, 1400);
    assertEquals(lag.unreadMs(1400), 0.0, "the backlog is read by now");
    assertEquals(lag.worstLagMs(1400), 150.0);
    runOnTime(1400, 20_000);
    assertEquals(lag.worstLagMs(20_000), 0.0, "out of the window");
  }

  @Test
  public void countsNothingAsUnreadOnceBacklogOfPauseIsRead() {
    runOnTime(0, 1000);
    assertEquals(lag.turnStarted(1700), 700.0, "a late turn leaves a backlog");
    lag.tick(1700);
    assertEquals(lag.unreadMs(1702), 702.0);
    lag.backlogRead();
    assertEquals(lag.unreadMs(1710), 0.0);
    assertEquals(lag.worstLagMs(1710), 700.0);
  }

  /** Regression: the second of two pauses was counted from the start of the first one. */
  @Test
  public void countsUnreadTimeOfASecondPauseFromItsOwnStart() {
    runOnTime(0, 1000);
    lag.turnStarted(1400);
    lag.tick(1400);
    lag.backlogRead();
    runOnTime(1400, 1450);
    lag.turnStarted(1700);
    assertEquals(lag.unreadMs(1700), 250.0);
  }

  /** During a long turn, as before JIT compilation, bytes stay unread just as during a pause. */
  @Test
  public void countsUnreadTimeOfALongTurnFromItsStart() {
    EventLoopLag longTurn = new EventLoopLag();
    longTurn.tick(0);
    longTurn.turnStarted(10);
    longTurn.turnStarted(410);
    assertEquals(longTurn.unreadMs(410), 400.0);
  }

  /** Timers can be on time while the results of one poll are handled in separate turns. */
  @Test
  public void countsUnreadTimeWhileTheResultsOfOnePollAreHandled() {
    runOnTime(0, 1000);
    lag.socketTurnStarted(1000, 900);
    assertEquals(lag.unreadMs(1000), 0.0, "the socket was polled just now");
    double now = 1000;
    for (int i = 0; i < 50; i++, now += 4) {
      lag.socketTurnStarted(now, 800 + i);
      lag.socketTurnEnded(now + 3);
      lag.turnStarted(now + 3.5);
      lag.tick(now + 3.5);
    }
    lag.socketTurnStarted(now, 990);
    assertEquals(lag.unreadMs(now), 200.0, "since the poll at 1,000");
    lag.socketTurnEnded(now + 1);
    lag.socketTurnStarted(now + 2, 1150);
    assertEquals(
        lag.unreadMs(now + 2), 52.0, "an operation armed at 1,150 was found by a later poll");
    lag.socketTurnEnded(now + 3);
    lag.socketTurnStarted(now + 20, 0);
    assertEquals(lag.unreadMs(now + 20), 0.0);
  }

  /** Otherwise an instance that is always slightly late would count its queries as minutes old. */
  @Test
  public void doesNotAccumulateConstantLag() {
    EventLoopLag slow = new EventLoopLag();
    for (double now = 0; now < 60_000; now += 80) {
      slow.turnStarted(now);
      slow.tick(now);
      assertTrue(slow.unreadMs(now) <= 160, "at " + now + ": " + slow.unreadMs(now));
    }
    assertEquals(slow.worstLagMs(60_000), 80.0);
  }
}
