package bitternpulley.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The limit of parts in flight at one server. */
class ServerConcurrencyLimitTest {
  private final ServerConcurrencyLimit limit = new ServerConcurrencyLimit();

  /** Parts that an idle server is sent at once. */
  private int capacity(PartPriority priority, double now) {
    int inFlight = 0;
    while (limit.hasCapacity(inFlight, priority, now)) {
      inFlight++;
    }
    return inFlight;
  }

  @Test
  void rejectionHalvesTheLimitAndTimelyAnswersRaiseItAgain() {
    limit.recordRejection(10, 100);
    limit.recordRejection(10, 101);
    assertEquals(5, capacity(PartPriority.URGENT, 200), "simultaneous rejections count once");
    assertEquals(
        2,
        capacity(PartPriority.DEFERRABLE, 200),
        "deferrable parts leave capacity for the others");
    for (int i = 0; i < 8; i++) {
      limit.recordTimelyAnswer(300, 4);
    }
    assertEquals(7, capacity(PartPriority.URGENT, 400));
    limit.reset();
    assertEquals(32, capacity(PartPriority.URGENT, 400));
  }

  @Test
  void cancelledAttemptsOccupyCapacityUntilALaterPartIsAnswered() {
    limit.recordRejection(4, 100);
    limit.recordCancelled(150);
    limit.recordCancelled(160);
    assertFalse(limit.hasCapacity(1, PartPriority.URGENT, 200));
    assertFalse(limit.hasCapacity(0, PartPriority.DEFERRABLE, 200));
    assertTrue(
        limit.hasCapacity(0, PartPriority.URGENT, 200),
        "an idle server is not left idle until the cancelled attempts expire");
    limit.recordTimelyAnswer(155, 0);
    assertEquals(2, capacity(PartPriority.URGENT, 300));
    assertTrue(capacity(PartPriority.URGENT, 3000) > 2, "cancelled attempts expire");
  }
}
