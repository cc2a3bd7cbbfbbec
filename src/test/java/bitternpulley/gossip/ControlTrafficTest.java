package bitternpulley.gossip;

import static org.testng.Assert.assertTrue;

import java.util.List;
import org.apache.commons.math3.stat.regression.SimpleRegression;
import org.testng.annotations.Test;

/** Bytes and messages of one member must not grow with the fleet; by seed, without any timing. */
public class ControlTrafficTest {
  /** Bytes per second of the busiest member at the largest fleet size supported. */
  private static final double MAX_BYTES_PER_S = 3000;

  private static final int LARGEST_FLEET = 530;

  /** Bytes per second that each further member may add: half of the whole at the largest size. */
  private static final double MAX_SLOPE = MAX_BYTES_PER_S / 2 / LARGEST_FLEET;

  private static void assertWithinLimits(int count, ControlTraffic.Rate rate) {
    assertTrue(rate.maxBytes() < MAX_BYTES_PER_S, count + " members: " + rate);
    assertTrue(rate.longestDatagram() <= GossipCodec.MAX_DATAGRAM_BYTES, rate.toString());
  }

  @Test
  public void bytesOfOneMemberAtRestDoNotGrowWithTheFleet() {
    SimpleRegression line = new SimpleRegression();
    for (int count : ControlTraffic.TESTED_SIZES) {
      ControlTraffic.Rate rate = ControlTraffic.atRest(count);
      assertWithinLimits(count, rate);
      line.addData(count, rate.bytes());
    }
    assertTrue(
        line.getSlope() < MAX_SLOPE,
        "a slope of " + line.getSlope() + " bytes a second and member");
  }

  @Test
  public void bytesOfOneMemberStayWithinLimitsDuringFaults() {
    for (int count : List.of(10, 40)) {
      assertWithinLimits(count, ControlTraffic.duringRestarts(count));
      assertWithinLimits(count, ControlTraffic.afterZoneLoss(count));
      assertWithinLimits(count, ControlTraffic.duringMessageLoss(count));
    }
  }
}
