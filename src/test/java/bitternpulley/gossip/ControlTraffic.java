package bitternpulley.gossip;

import bitternpulley.membership.GossipMessage;
import bitternpulley.membership.SimulatedMembers;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * Measures the cost of membership per member at several fleet sizes, in virtual time: the encoded
 * messages and bytes that each member sends, and the processor time of the state machine. Run by
 * {@code make measure-scale-control}; the last line of the output is one JSON object.
 */
final class ControlTraffic {
  private static final double DURATION_MS = 30_000;

  /** Restarts within the duration: 700 per day, which is one per 123 s, at 60 times that rate. */
  private static final int RESTARTS = 15;

  /** Number of zones of the fleet, one of which is lost. */
  private static final int ZONES = 6;

  private static final double LOSS_RATE = 0.2;
  private static final long SEED = 1;

  /** Minimum number of points for which a regression has an error estimate. */
  private static final int MIN_FIT_POINTS = 3;

  /**
   * Fleet sizes of the test in CI. Below 40 members, updates are rare at rest, and bytes grow
   * faster with the fleet size than from 40 members on.
   */
  static final List<Integer> TESTED_SIZES = List.of(40, 80, 160);

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private ControlTraffic() {}

  /**
   * The traffic per member.
   *
   * @param messages messages sent per second, mean over all members
   * @param bytes bytes sent per second, mean over all members
   * @param maxBytes bytes sent per second by the member that sent the most
   * @param longestDatagram length of the longest datagram in bytes
   * @param cpuMicros processor time in microseconds per second, mean over all members
   */
  record Rate(
      double messages, double bytes, double maxBytes, int longestDatagram, double cpuMicros) {
    ObjectNode toJson() {
      return MAPPER
          .createObjectNode()
          .put("messages_per_s", messages)
          .put("bytes_per_s", bytes)
          .put("most_bytes_per_s", maxBytes)
          .put("longest_datagram", longestDatagram)
          .put("cpu_us_per_s", cpuMicros);
    }
  }

  /** Counts the messages and bytes that each member sends. */
  private static final class TrafficCounter implements Consumer<GossipMessage> {
    private static final class Sender {
      private long messages;
      private long bytes;
    }

    private final GossipCodec codec = new GossipCodec("measure");
    private final Map<Integer, Sender> senders = new HashMap<>();
    private int longestDatagram;

    @Override
    public void accept(GossipMessage message) {
      int length = codec.encode(message).length;
      Sender sender = senders.computeIfAbsent(message.from(), number -> new Sender());
      sender.messages++;
      sender.bytes += length;
      longestDatagram = Math.max(longestDatagram, length);
    }

    Rate rate(int members, double cpuMicros) {
      double seconds = DURATION_MS / 1000;
      return new Rate(
          senders.values().stream().mapToLong(sender -> sender.messages).sum() / seconds / members,
          senders.values().stream().mapToLong(sender -> sender.bytes).sum() / seconds / members,
          senders.values().stream().mapToLong(sender -> sender.bytes).max().orElse(0) / seconds,
          longestDatagram,
          cpuMicros / seconds / members);
    }
  }

  /** Measures the traffic during a scenario, which must last {@link #DURATION_MS}. */
  private static Rate measure(int memberCount, Consumer<SimulatedMembers> scenario) {
    SimulatedMembers members = new SimulatedMembers(memberCount, SEED);
    TrafficCounter counter = new TrafficCounter();
    members.observeMessages(counter);
    long startNanos = System.nanoTime();
    scenario.accept(members);
    return counter.rate(memberCount, (System.nanoTime() - startNanos) / 1e3);
  }

  static Rate atRest(int memberCount) {
    return measure(memberCount, members -> members.run(DURATION_MS));
  }

  static Rate duringRestarts(int memberCount) {
    return measure(memberCount, members -> members.runWithRestarts(RESTARTS, DURATION_MS));
  }

  static Rate afterZoneLoss(int memberCount) {
    return measure(
        memberCount,
        members -> {
          members.killEvery(ZONES);
          members.run(DURATION_MS);
        });
  }

  static Rate duringMessageLoss(int memberCount) {
    return measure(
        memberCount,
        members -> {
          members.setLossRate(LOSS_RATE);
          members.run(DURATION_MS);
        });
  }

  /** Runs the measurement; the arguments are the fleet sizes. */
  public static void main(String[] args) {
    ObjectNode report = MAPPER.createObjectNode().put("measure", "scale-control").put("seed", SEED);
    Map<String, SimpleRegression> regressions = new TreeMap<>();
    for (String arg : args) {
      ObjectNode row = measureSize(Integer.parseInt(arg), regressions);
      System.out.println(row);
      report.withArray("sizes").add(row);
    }
    regressions.forEach((name, regression) -> addFit(report, name, regression));
    System.out.println(report);
    System.exit(0);
  }

  private static ObjectNode measureSize(
      int memberCount, Map<String, SimpleRegression> regressions) {
    Map<String, Rate> rates = new LinkedHashMap<>();
    rates.put("rest", atRest(memberCount));
    rates.put("churn", duringRestarts(memberCount));
    rates.put("zone_lost", afterZoneLoss(memberCount));
    rates.put("loss_20", duringMessageLoss(memberCount));
    ObjectNode row = MAPPER.createObjectNode().put("members", memberCount);
    rates.forEach(
        (name, rate) -> {
          row.set(name, rate.toJson());
          addPoint(regressions, name + "_bytes_per_s", memberCount, rate.bytes());
          addPoint(regressions, name + "_cpu_us_per_s", memberCount, rate.cpuMicros());
        });
    return row;
  }

  private static void addPoint(
      Map<String, SimpleRegression> regressions, String name, int memberCount, double value) {
    regressions.computeIfAbsent(name, key -> new SimpleRegression()).addData(memberCount, value);
  }

  private static void addFit(ObjectNode report, String name, SimpleRegression regression) {
    if (regression.getN() < MIN_FIT_POINTS) {
      return;
    }
    report
        .withObject("/fits")
        .putObject(name)
        .put("slope", regression.getSlope())
        .put("slope_error", regression.getSlopeStdErr())
        .put("at_zero", regression.getIntercept())
        .put("residual", Math.sqrt(regression.getMeanSquareError()))
        .put("points", regression.getN());
  }
}
