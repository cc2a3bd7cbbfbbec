package bitternpulley.gossip;

import bitternpulley.membership.HollowMembers;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * What membership costs each member, by the number of members, in virtual time: messages and bytes
 * as they go over the wire, and processor time of the state machine. {@code make
 * measure-scale-control}; the last line is one JSON object.
 */
final class ControlTraffic {
  private static final double MS = 30_000;

  /** Restarts in the time measured: 700 a day are one in 123 s, sped up by sixty. */
  private static final int RESTARTS = 15;

  /** A zone of six is lost. */
  private static final int ZONES = 6;

  private static final double LOSS = 0.2;
  private static final long SEED = 1;

  private ControlTraffic() {}

  /** Figures of one member a second: the mean, and the member that sent most. */
  record Rate(double messages, double bytes, double mostBytes, int longest, double cpuMicros) {
    ObjectNode json(ObjectMapper mapper) {
      return mapper
          .createObjectNode()
          .put("messages_per_s", messages)
          .put("bytes_per_s", bytes)
          .put("most_bytes_per_s", mostBytes)
          .put("longest_datagram", longest)
          .put("cpu_us_per_s", cpuMicros);
    }
  }

  /** What the members sent while this went on. */
  static Rate rate(HollowMembers members, int count, double ms, Consumer<HollowMembers> meanwhile) {
    GossipCodec codec = new GossipCodec("measure");
    Map<Integer, long[]> sent = new HashMap<>();
    int[] longest = new int[1];
    members.watch(
        m -> {
          int length = codec.encode(m).length;
          long[] by = sent.computeIfAbsent(m.from(), f -> new long[2]);
          by[0]++;
          by[1] += length;
          longest[0] = Math.max(longest[0], length);
        });
    long from = System.nanoTime();
    meanwhile.accept(members);
    double cpu = (System.nanoTime() - from) / 1e3;
    double seconds = ms / 1000;
    return new Rate(
        sent.values().stream().mapToLong(s -> s[0]).sum() / seconds / count,
        sent.values().stream().mapToLong(s -> s[1]).sum() / seconds / count,
        sent.values().stream().mapToLong(s -> s[1]).max().orElse(0) / seconds,
        longest[0],
        cpu / seconds / count);
  }

  static Rate atRest(int count) {
    return rate(new HollowMembers(count, SEED), count, MS, m -> m.run(MS));
  }

  static Rate inChurn(int count) {
    return rate(new HollowMembers(count, SEED), count, MS, m -> m.churn(RESTARTS, MS));
  }

  static Rate zoneLost(int count) {
    return rate(
        new HollowMembers(count, SEED),
        count,
        MS,
        m -> {
          m.loseEach(ZONES);
          m.run(MS);
        });
  }

  static Rate lossy(int count) {
    return rate(
        new HollowMembers(count, SEED),
        count,
        MS,
        m -> {
          m.lose(LOSS);
          m.run(MS);
        });
  }

  /** Arguments: the numbers of members. */
  public static void main(String[] args) {
    ObjectMapper mapper = new ObjectMapper();
    ObjectNode out = mapper.createObjectNode().put("measure", "scale-control").put("seed", SEED);
    Map<String, SimpleRegression> lines = new java.util.TreeMap<>();
    for (String arg : args) {
      int count = Integer.parseInt(arg);
      ObjectNode row = mapper.createObjectNode().put("members", count);
      Map<String, Rate> rates = new java.util.LinkedHashMap<>();
      rates.put("rest", atRest(count));
      rates.put("churn", inChurn(count));
      rates.put("zone_lost", zoneLost(count));
      rates.put("loss_20", lossy(count));
      rates.forEach(
          (name, rate) -> {
            row.set(name, rate.json(mapper));
            lines
                .computeIfAbsent(name + "_bytes_per_s", n -> new SimpleRegression())
                .addData(count, rate.bytes());
            lines
                .computeIfAbsent(name + "_cpu_us_per_s", n -> new SimpleRegression())
                .addData(count, rate.cpuMicros());
          });
      System.out.println(row);
      out.withArray("sizes").add(row);
    }
    lines.forEach(
        (name, line) -> {
          if (line.getN() > 2) {
            out.withObject("/fits")
                .putObject(name)
                .put("slope", line.getSlope())
                .put("slope_error", line.getSlopeStdErr())
                .put("at_zero", line.getIntercept())
                .put("residual", Math.sqrt(line.getMeanSquareError()))
                .put("points", line.getN());
          }
        });
    System.out.println(out);
    System.exit(0);
  }

  /**
   * The sizes of the test in CI: below 40 members a datagram of news is rare at rest, and bytes
   * grow faster than they do from there.
   */
  static final List<Integer> SMALL = List.of(40, 80, 160);
}
