package bitternpulley.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the limit on parts in flight at one server. */
class ServerConcurrencyLimitTest {
  private final ServerConcurrencyLimit limit = new ServerConcurrencyLimit();

  /** The number of parts that may be sent to an idle server at once. */
  private int idleCapacity(PartPriority priority, double now) {
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
    assertEquals(5, idleCapacity(PartPriority.URGENT, 200), "simultaneous rejections count once");
    assertEquals(
        2,
        idleCapacity(PartPriority.DEFERRABLE, 200),
        "deferrable parts leave capacity for the others");
    for (int i = 0; i < 8; i++) {
      limit.recordTimelyAnswer(300, 4);
    }
    assertEquals(7, idleCapacity(PartPriority.URGENT, 400));
    limit.reset();
    assertEquals(32, idleCapacity(PartPriority.URGENT, 400));
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
    assertEquals(2, idleCapacity(PartPriority.URGENT, 300));
    assertTrue(idleCapacity(PartPriority.URGENT, 3000) > 2, "cancelled attempts expire");
  }
}
