package bitternpulley.gossip;

import static org.testng.Assert.assertTrue;

import java.util.List;
import org.apache.commons.math3.stat.regression.SimpleRegression;
import org.testng.annotations.Test;

/**
 * Checks that the traffic per member does not grow with the fleet size. Deterministic: uses a fixed
 * seed and virtual time.
 */
public class ControlTrafficTest {
  /** Limit for the bytes per second of the busiest member at the largest supported fleet size. */
  private static final double MAX_BYTES_PER_S = 3000;

  private static final int LARGEST_FLEET = 530;

  /** Bytes per second that each further member may add: half of the limit at the largest size. */
  private static final double MAX_SLOPE = MAX_BYTES_PER_S / 2 / LARGEST_FLEET;

  private static void assertWithinLimits(int memberCount, ControlTraffic.Rate rate) {
    assertTrue(rate.maxBytes() < MAX_BYTES_PER_S, memberCount + " members: " + rate);
    assertTrue(rate.longestDatagram() <= GossipCodec.MAX_DATAGRAM_BYTES, rate.toString());
  }

  @Test
  public void bytesPerMemberAtRestDoNotGrowWithFleetSize() {
    SimpleRegression regression = new SimpleRegression();
    for (int memberCount : ControlTraffic.TESTED_SIZES) {
      ControlTraffic.Rate rate = ControlTraffic.atRest(memberCount);
      assertWithinLimits(memberCount, rate);
      regression.addData(memberCount, rate.bytes());
    }
    assertTrue(
        regression.getSlope() < MAX_SLOPE,
        "slope in bytes per second and member: " + regression.getSlope());
  }

  @Test
  public void bytesPerMemberStayWithinLimitsDuringFaults() {
    for (int memberCount : List.of(10, 40)) {
      assertWithinLimits(memberCount, ControlTraffic.duringRestarts(memberCount));
      assertWithinLimits(memberCount, ControlTraffic.afterZoneLoss(memberCount));
      assertWithinLimits(memberCount, ControlTraffic.duringMessageLoss(memberCount));
    }
  }
}
