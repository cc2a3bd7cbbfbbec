package bitternpulley.contracts;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class TokenBucketTest {
  private static final double DEPTH = 10;
  private final TokenBucket bucket = new TokenBucket(100, DEPTH);

  @Test
  void fillsByItsShareOfTheCapacityFlowUpToItsDepth() {
    bucket.take(8);
    bucket.fill(112, 0.5, DEPTH);
    assertEquals(8, bucket.balance());
    bucket.fill(1000, 0.5, DEPTH);
    assertEquals(DEPTH, bucket.balance());
  }

  @Test
  void balanceFallsWithDepth() {
    bucket.fill(100, 0.5, 4);
    assertEquals(4, bucket.balance());
  }

  @Test
  void refundStopsAtDepthAndNegativeRefundLowersBalance() {
    bucket.take(3);
    bucket.refund(5, DEPTH);
    assertEquals(DEPTH, bucket.balance());
    bucket.refund(-12, DEPTH);
    assertEquals(-2, bucket.balance());
  }
}
