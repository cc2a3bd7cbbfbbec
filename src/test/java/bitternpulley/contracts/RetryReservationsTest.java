package bitternpulley.contracts;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RetryReservationsTest {
  private static final long CALLER = 7;
  private final RetryReservations reservations = new RetryReservations();

  @Test
  void reservationBecomesDueAtDueTime() {
    reservations.reserve(CALLER, 100, 2);
    assertTrue(reservations.remainingMs(CALLER, 0) > 0);
    assertTrue(reservations.remainingMs(CALLER, 100) <= 0);
    assertTrue(Double.isNaN(reservations.remainingMs(CALLER + 1, 100)));
  }

  @Test
  void keepsAmountsReservedUntilReleased() {
    reservations.reserve(CALLER, 100, 2);
    reservations.reserve(CALLER + 1, 200, 3);
    assertEquals(5, reservations.reservedAmount(0));
    reservations.release(CALLER);
    assertEquals(3, reservations.reservedAmount(0));
    assertEquals(1, reservations.size());
  }

  @Test
  void reservationExpiresAfterItsGracePeriod() {
    reservations.reserve(CALLER, 100, 2);
    assertEquals(2, reservations.reservedAmount(100 + RetryReservations.GRACE_MS));
    assertEquals(0, reservations.reservedAmount(101 + RetryReservations.GRACE_MS));
    assertTrue(Double.isNaN(reservations.remainingMs(CALLER, 101)));
  }

  @Test
  void reservesNothingWithoutFingerprint() {
    assertFalse(reservations.reserve(0, 100, 2));
    assertEquals(0, reservations.reservedAmount(0));
  }

  @Test
  void limitsNumberOfReservations() {
    int count = 0;
    while (count < 10_000 && reservations.reserve(count + 1, 100, 1)) {
      count++;
    }
    assertEquals(256, count);
  }
}
