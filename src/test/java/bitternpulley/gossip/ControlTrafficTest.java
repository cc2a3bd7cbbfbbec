package bitternpulley.gossip;

import static org.testng.Assert.assertTrue;

import java.util.List;
import org.apache.commons.math3.stat.regression.SimpleRegression;
import org.testng.annotations.Test;

/**
 * Guards against control traffic of one member that grows with the fleet: bytes and messages, by
 * seed, never time.
 */
public class ControlTrafficTest {
  /**
   * Bytes a second that one member sends at the most, by mean and by the busiest: the size that is
   * coming allows 3 KB.
   */
  private static final double MOST_BYTES = 3000;

  /**
   * Bytes a second that each further member may add: at 530 members less than half of the whole.
   */
  private static final double MOST_SLOPE = MOST_BYTES / 2 / 530;

  @Test
  public void oneMembersBytesAtRestDoNotGrowWithTheFleet() {
    SimpleRegression line = new SimpleRegression();
    for (int count : ControlTraffic.SMALL) {
      ControlTraffic.Rate rate = ControlTraffic.atRest(count);
      assertTrue(rate.mostBytes() < MOST_BYTES, count + " members: " + rate);
      assertTrue(rate.longest() <= GossipCodec.MAX_DATAGRAM_BYTES, rate.toString());
      line.addData(count, rate.bytes());
    }
    assertTrue(
        line.getSlope() < MOST_SLOPE,
        "a slope of " + line.getSlope() + " bytes a second and member");
  }

  @Test
  public void inTroubleOneMemberStaysUnderItsShare() {
    for (int count : List.of(10, 40)) {
      for (ControlTraffic.Rate rate :
          List.of(
              ControlTraffic.inChurn(count),
              ControlTraffic.zoneLost(count),
              ControlTraffic.lossy(count))) {
        assertTrue(rate.mostBytes() < MOST_BYTES, count + " members: " + rate);
        assertTrue(rate.longest() <= GossipCodec.MAX_DATAGRAM_BYTES, rate.toString());
      }
    }
  }
}
