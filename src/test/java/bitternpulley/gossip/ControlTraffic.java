package bitternpulley.gossip;

import bitternpulley.membership.GossipMessage;
import bitternpulley.membership.HollowMembers;
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
 * Measures what membership costs each member, by the number of members, in virtual time: messages
 * and bytes as they go over the wire, and processor time of the state machine. {@code make
 * measure-scale-control}; the last line is one JSON object.
 */
final class ControlTraffic {
  private static final double DURATION_MS = 30_000;

  /** Restarts in that time: 700 a day are one in 123 s, sped up by sixty. */
  private static final int RESTARTS = 15;

  /** Zones of the fleet, one of which is lost. */
  private static final int ZONES = 6;

  private static final double LOSS_RATE = 0.2;
  private static final long SEED = 1;

  /** Points below which a line has no error estimate. */
  private static final int MIN_FIT_POINTS = 3;

  /**
   * Fleet sizes of the test in CI. Below 40 members updates are rare at rest, and bytes grow faster
   * than they do from there.
   */
  static final List<Integer> TESTED_SIZES = List.of(40, 80, 160);

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private ControlTraffic() {}

  /**
   * The traffic of one member.
   *
   * @param messages messages per second, mean of all members
   * @param bytes bytes per second, mean of all members
   * @param maxBytes bytes per second of the member that sent most
   * @param longestDatagram bytes of the longest datagram
   * @param cpuMicros processor time in us per second, mean of all members
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

  /** The traffic during a scenario, which has to last {@link #DURATION_MS}. */
  private static Rate measure(int count, Consumer<HollowMembers> scenario) {
    HollowMembers members = new HollowMembers(count, SEED);
    TrafficCounter counter = new TrafficCounter();
    members.observeMessages(counter);
    long from = System.nanoTime();
    scenario.accept(members);
    return counter.rate(count, (System.nanoTime() - from) / 1e3);
  }

  static Rate atRest(int count) {
    return measure(count, members -> members.run(DURATION_MS));
  }

  static Rate duringRestarts(int count) {
    return measure(count, members -> members.runWithRestarts(RESTARTS, DURATION_MS));
  }

  static Rate afterZoneLoss(int count) {
    return measure(
        count,
        members -> {
          members.killEvery(ZONES);
          members.run(DURATION_MS);
        });
  }

  static Rate duringMessageLoss(int count) {
    return measure(
        count,
        members -> {
          members.setLossRate(LOSS_RATE);
          members.run(DURATION_MS);
        });
  }

  /** Arguments: the numbers of members. */
  public static void main(String[] args) {
    ObjectNode report = MAPPER.createObjectNode().put("measure", "scale-control").put("seed", SEED);
    Map<String, SimpleRegression> lines = new TreeMap<>();
    for (String arg : args) {
      ObjectNode row = measureSize(Integer.parseInt(arg), lines);
      System.out.println(row);
      report.withArray("sizes").add(row);
    }
    lines.forEach((name, line) -> addFit(report, name, line));
    System.out.println(report);
    System.exit(0);
  }

  private static ObjectNode measureSize(int count, Map<String, SimpleRegression> lines) {
    Map<String, Rate> rates = new LinkedHashMap<>();
    rates.put("rest", atRest(count));
    rates.put("churn", duringRestarts(count));
    rates.put("zone_lost", afterZoneLoss(count));
    rates.put("loss_20", duringMessageLoss(count));
    ObjectNode row = MAPPER.createObjectNode().put("members", count);
    rates.forEach(
        (name, rate) -> {
          row.set(name, rate.toJson());
          addPoint(lines, name + "_bytes_per_s", count, rate.bytes());
          addPoint(lines, name + "_cpu_us_per_s", count, rate.cpuMicros());
        });
    return row;
  }

  private static void addPoint(
      Map<String, SimpleRegression> lines, String name, int count, double value) {
    lines.computeIfAbsent(name, key -> new SimpleRegression()).addData(count, value);
  }

  private static void addFit(ObjectNode report, String name, SimpleRegression line) {
    if (line.getN() < MIN_FIT_POINTS) {
      return;
    }
    report
        .withObject("/fits")
        .putObject(name)
        .put("slope", line.getSlope())
        .put("slope_error", line.getSlopeStdErr())
        .put("at_zero", line.getIntercept())
        .put("residual", Math.sqrt(line.getMeanSquareError()))
        .put("points", line.getN());
  }
}
