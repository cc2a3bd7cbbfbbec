package bitternpulley.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * In virtual time: beats and turns as they come to a loop that is on time, is stopped, or has a
 * long turn.
 */
public class LoopLagTest {
  private LoopLag lag;

  @BeforeMethod
  public void fresh() {
    lag = new LoopLag();
  }

  private double run(double from, double to) {
    for (double t = from; t <= to; t += LoopLag.BEAT) {
      lag.turn(t);
      lag.beat(t);
    }
    return to;
  }

  @Test
  public void onTimeNothingCountsAsUnread() {
    LoopLag fresh = new LoopLag();
    fresh.turn(5000);
    assertEquals(fresh.unread(5000), 0.0, "no beat yet");
    for (double t = 0; t < 1000; t += 27) {
      fresh.beat(t);
      fresh.turn(t + 13);
      assertEquals(fresh.unread(t + 13), 0.0);
    }
    assertEquals(fresh.worst(1000), 0.0);
  }

  @Test
  public void whatIsReadAfterAStopMayHaveLainThereSinceTheLastLook() {
    run(0, 1000);
    lag.turn(1150);
    assertEquals(lag.unread(1150), 150.0);
    // Whether the beat or a socket gets the first turn after the stop makes no difference, nor how
    // many come before.
    lag.beat(1150);
    lag.turn(1170);
    assertEquals(lag.unread(1170), 170.0, "still being read");
    run(1175, 1400);
    assertEquals(lag.unread(1400), 0.0, "all of it is read by now");
    assertEquals(lag.worst(1400), 150.0);
    run(1400, 20_000);
    assertEquals(lag.worst(20_000), 0.0, "forgotten");
  }

  /**
   * A turn that is long, as code not compiled makes it, hides what comes meanwhile just as a stop
   * does.
   */
  @Test
  public void aLongTurnCountsFromItsBeginning() {
    LoopLag one = new LoopLag();
    one.beat(0);
    one.turn(10);
    one.turn(410);
    assertEquals(one.unread(410), 400.0);
  }

  /** Alarms may be on time all the while that one look's finds are dealt with, turn by turn. */
  @Test
  public void whatComesWhileOneLooksFindsAreDealtWithLiesUnread() {
    run(0, 1000);
    lag.socket(1000, 900);
    assertEquals(lag.unread(1000), 0.0, "it was waited for");
    double t = 1000;
    for (int i = 0; i < 50; i++, t += 4) {
      lag.socket(t, 800 + i);
      lag.socketDone(t + 3);
      lag.turn(t + 3.5);
      lag.beat(t + 3.5);
    }
    lag.socket(t, 990);
    assertEquals(lag.unread(t), 200.0, "since the look at 1,000");
    lag.socketDone(t + 1);
    lag.socket(t + 2, 1150);
    assertEquals(
        lag.unread(t + 2), 52.0, "what was waited for from 1,150 on was found by a later look");
    lag.socketDone(t + 3);
    lag.socket(t + 20, 0);
    assertEquals(lag.unread(t + 20), 0.0);
  }

  /**
   * Guards against an instance that is always a little late and comes to count its queries as
   * minutes old.
   */
  @Test
  public void lastingLatenessDoesNotAddUp() {
    LoopLag slow = new LoopLag();
    for (double t = 0; t < 60_000; t += 80) {
      slow.turn(t);
      slow.beat(t);
      assertTrue(slow.unread(t) <= 160, "at " + t + ": " + slow.unread(t));
    }
    assertEquals(slow.worst(60_000), 80.0);
  }
}
