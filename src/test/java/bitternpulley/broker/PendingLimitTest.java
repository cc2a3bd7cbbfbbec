package bitternpulley.broker;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the limit of eight pending requests and parts. */
public class PendingLimitTest {
  private ReducerHarness harness;

  @BeforeMethod
  public void setUp() {
    harness = new ReducerHarness(ReducerHarness.settings(Settings.Idempotency.IDEMPOTENT));
  }

  /** As in the simulator, a request that arrives below the limit is admitted with all its parts. */
  @Test
  public void rejectsRequestsBeyondTheLimitWithoutSendingThem() {
    harness.request(1, 0, 1, 2, 3);
    harness.request(2, 0, 1, 2, 3);
    assertEquals(harness.replies().size(), 0, "five of eight were pending");
    int sent = harness.attempts().size();
    harness.request(3, 0);
    Effect.Answer.Rejected rejected = (Effect.Answer.Rejected) harness.answer(0);
    assertTrue(rejected.retryAfter() > 0);
    assertFalse(rejected.finalState().mayHaveRun());
    assertEquals(harness.attempts().size(), sent);
  }

  @Test
  public void doesNotCountPartsThatHaveTheirValue() {
    harness.request(1, 0, 1, 2, 3);
    harness.request(2, 0, 1, 2, 3);
    for (int i = 0; i < 3; i++) {
      harness.end(i, Router.Outcome.OK, "v");
    }
    int replies = harness.replies().size();
    harness.request(3, 0);
    assertEquals(harness.replies().size(), replies, "seven of eight were pending");
    harness.request(4, 0);
    assertEquals(harness.replies().size(), replies + 1, "nine were pending");
  }
}
