package bitternpulley.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ProcessPausesTest {
  private final ProcessPauses pauses = new ProcessPauses();

  @Test
  void countsOnlyPausedTimeAfterTheGivenTime() {
    pauses.record(500, 1500);
    pauses.record(200, 2000);
    assertEquals(700, pauses.pausedSince(900));
    assertEquals(500, pauses.pausedSince(1200));
    assertEquals(200, pauses.pausedSince(1600));
    assertEquals(0, pauses.pausedSince(2000));
  }

  @Test
  void reportsAPauseThatEndedAfterTheGivenTime() {
    assertTrue(pauses.ranWithoutPauseSince(0));
    pauses.record(500, 1500);
    assertFalse(pauses.ranWithoutPauseSince(1499));
    assertTrue(pauses.ranWithoutPauseSince(1500));
  }

  @Test
  void keepsALimitedNumberOfPauses() {
    for (int i = 1; i <= 1000; i++) {
      pauses.record(10, 100 * i);
    }
    assertEquals(320, pauses.pausedSince(0));
  }
}
