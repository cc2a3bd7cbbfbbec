package bitternpulley.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ServerConcurrencyLimitTest {
  private final ServerConcurrencyLimit room = new ServerConcurrencyLimit();

  private int taken(boolean canWait, double now) {
    int out = 0;
    while (room.takes(out, canWait, now)) {
      out++;
    }
    return out;
  }

  @Test
  void aFullQueueHalvesItAndAnswersInTimeWidenItAgain() {
    room.full(10, 100);
    room.full(10, 101);
    assertEquals(5, taken(false, 200), "what is refused at once counts once");
    assertEquals(2, taken(true, 200), "parts that can wait leave room for the others");
    for (int i = 0; i < 8; i++) {
      room.answered(300, true, 4, 400);
    }
    assertEquals(7, taken(false, 400));
    room.forget();
    assertEquals(32, taken(false, 400));
  }

  /** Guards against a queue that fills unseen with parts which nobody awaits. */
  @Test
  void whatWasCalledOffTakesRoomUntilALaterPartIsAnswered() {
    room.full(4, 100);
    room.left(150);
    room.left(160);
    assertFalse(room.takes(1, false, 200));
    assertFalse(room.takes(0, true, 200));
    assertTrue(
        room.takes(0, false, 200),
        "a server that has none is not left idle till they are forgotten");
    room.answered(155, true, 0, 300);
    assertEquals(2, taken(false, 300));
    assertTrue(taken(false, 3000) > 2, "nor for good");
  }
}
