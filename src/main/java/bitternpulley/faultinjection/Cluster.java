package bitternpulley.faultinjection;

import bitternpulley.emulator.Fleet;
import bitternpulley.emulator.SlotServer;
import bitternpulley.net.EventLoop;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.IntStream;

/**
 * Several processes of the real program over one fleet of stand-in servers, in zones by turns, with
 * a path for each direction between each two that speak, by datagrams or streams; all that is done
 * to them and seen goes to the timeline.
 */
public final class Cluster implements AutoCloseable {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int CELLS = 6;
  private static final int CORES = 2;
  private static final int HOLDS = 2000;

  private final List<Node> nodes = new ArrayList<>();
  private final Fleet fleet;
  private final Ways ways;
  private final Targets targets;
  private final Timeline timeline;
  private final String replay;

  /**
   * So many processes in two zones, started and ready; {@code script} is the operators' script of
   * each.
   */
  public Cluster(String name, int count, long seed, String script, String replay)
      throws IOException, InterruptedException {
    this(name, count, List.of("gulberg", "johar"), seed, script, replay);
  }

  /**
   * So many processes in these zones by turns; {@code replay} is the command that plays the same
   * again.
   */
  public Cluster(
      String name, int count, List<String> zones, long seed, String script, String replay)
      throws IOException, InterruptedException {
    fleet = new Fleet(new EventLoop(), CELLS, CORES, zones);
    ways = new Ways(count, fleet, seed);
    targets =
        new Targets(
            IntStream.range(0, count).mapToObj(i -> zones.get(i % zones.size())).toList(),
            fleet.servers().stream().map(s -> zones.get(fleet.zoneOf(s))).toList());
    timeline = new Timeline(name, seed);
    this.replay = replay;
    for (int i = 0; i < count; i++) {
      String node = "n" + i;
      Fleet.DiscoveryView view = fleet.createView(s -> ways.address(node, s.id()));
      ObjectNode config =
          fleet.configuration(
              i,
              count,
              "127.0.0.1:" + Ports.free(),
              HOLDS,
              view,
              ways.stream(node, "discovery", view.address()));
      config.put("peer_listen", ways.datagrams().listen(i).toString());
      ArrayNode peers = config.putArray("peers");
      ways.datagrams().peersOf(i).forEach(p -> peers.add(p.toString()));
      nodes.add(new Node(node, config, script).start());
    }
    for (Node n : nodes) {
      n.awaitReady();
    }
    timeline.recordObservation("ready", count);
  }

  public int size() {
    return nodes.size();
  }

  public Node node(int i) {
    return nodes.get(i);
  }

  public Fleet fleet() {
    return fleet;
  }

  /** Bytes of datagrams that a process has sent so far. */
  public long bytesOf(int node) {
    return ways.datagrams().bytesOf(node);
  }

  public Timeline timeline() {
    return timeline;
  }

  // --- Faults ------------------------------------------------------------------------------------

  /**
   * Puts in a fault, or takes one away; the line goes to the timeline as it is. For processes:
   * {@code pause}, {@code resume}, {@code kill}, {@code restart}, {@code renew} (started again
   * without memory), {@code leave} (SIGTERM), {@code hangup}. For slot servers: {@code slow TIMES},
   * {@code silent}, {@code speak}, {@code drain}, {@code up}, {@code cold} (a new process of it).
   * For ways, behind whose verb and figures stand the two ends, with {@code >} for one direction
   * and {@code =} for both: {@code cut}, {@code reset}, {@code lose SHARE}, {@code delay MS
   * JITTER}, {@code repeat SHARE}, {@code garble SHARE}, {@code throttle BYTES_PER_SECOND}, {@code
   * heal}. Ends are as {@link Targets} has them.
   */
  public void does(String fault) throws IOException, InterruptedException {
    timeline.recordFault(fault);
    String[] words = fault.trim().split("\\s+");
    int ways = List.of(words).indexOf(">") + List.of(words).indexOf("=") + 1;
    if (ways > 0) {
      onWays(words, ways);
      return;
    }
    for (String target : targets.of(words[words.length - 1])) {
      int number = Integer.parseInt(target.substring(1));
      if (target.startsWith("n")) {
        onNode(words[0], nodes.get(number));
      } else {
        onServer(words, fleet.servers().get(number));
      }
    }
  }

  private void onWays(String[] words, int at) {
    Set<String> from = targets.of(words[at - 1]);
    Set<String> to = targets.of(words[at + 1]);
    Consumer<Path> fault =
        switch (words[0]) {
          case "cut" -> p -> p.cut(true);
          case "reset" -> p -> p.reset(true);
          case "lose" -> p -> p.lose(figure(words, 1));
          case "delay" -> p -> p.delay(figure(words, 1), figure(words, 2));
          case "repeat" -> p -> p.repeat(figure(words, 1));
          case "garble" -> p -> p.garble(figure(words, 1));
          case "throttle" -> p -> p.throttle(figure(words, 1));
          case "heal" -> Path::heal;
          default -> throw new IllegalArgumentException("no such fault of a way: " + words[0]);
        };
    ways.each(from, to, words[at].equals("="), fault);
  }

  private static double figure(String[] words, int at) {
    return Double.parseDouble(words[at]);
  }

  private void onNode(String verb, Node node) throws IOException, InterruptedException {
    switch (verb) {
      case "pause" -> node.pause();
      case "resume" -> node.resume();
      case "kill" -> node.kill();
      case "leave" -> node.terminate();
      case "hangup" -> node.reloadConfiguration();
      case "restart" -> node.start().awaitReady();
      case "renew" -> {
        node.deleteState();
        node.start().awaitReady();
      }
      default -> throw new IllegalArgumentException("no such fault of a process: " + verb);
    }
  }

  private void onServer(String[] words, SlotServer server) {
    switch (words[0]) {
      case "slow" -> server.slow(figure(words, 1));
      case "silent" -> server.silent(true);
      case "speak" -> server.silent(false);
      case "drain" -> fleet.tell(server, "draining");
      case "up" -> fleet.tell(server, "up");
      case "cold" -> fleet.restart(server);
      default -> throw new IllegalArgumentException("no such fault of a slot server: " + words[0]);
    }
  }

  // --- What is seen ------------------------------------------------------------------------------

  /** What a process says of the others: its door's answer to {@code members}. */
  public JsonNode members(int at) throws IOException {
    String answer = nodes.get(at).order("members");
    if (!answer.startsWith("200 ")) {
      throw new IOException(nodes.get(at).name() + ": " + answer);
    }
    return JSON.readTree(answer.substring(4));
  }

  /** How one holds another: alive, suspect, dead or left. */
  public String state(int at, int of) throws IOException {
    for (JsonNode m : members(at).path("members")) {
      if (m.path("number").asInt() == of) {
        return m.path("state").asText();
      }
    }
    return "unknown";
  }

  /**
   * The part of what all may do together that each process that runs takes by its leases, as it
   * tells, by number.
   */
  public Map<Integer, Double> parts() throws IOException {
    Map<Integer, Double> parts = new TreeMap<>();
    for (int i : running()) {
      parts.put(i, members(i).path("lease").path("part").asDouble());
    }
    return parts;
  }

  /** Verdicts of death on one, in the logs of all processes so far. */
  public long deaths(int of) throws IOException {
    long deaths = 0;
    for (Node n : nodes) {
      deaths +=
          n.log()
              .lines()
              .filter(l -> l.contains("member " + of + " ") && l.contains(" is dead, was "))
              .count();
    }
    return deaths;
  }

  /** Whether one holds another so; false where it does not say. */
  public boolean holds(int at, int of, String state) {
    try {
      return state(at, of).equals(state);
    } catch (IOException e) {
      return false;
    }
  }

  /** Whether all processes that run hold this one so. */
  public boolean allHold(int of, String state) {
    return running().stream().filter(i -> i != of).allMatch(i -> holds(i, of, state));
  }

  /** Whether all processes that run have the same view. */
  public boolean viewsEqual() {
    return running().stream()
            .map(
                i -> {
                  try {
                    return members(i).path("view").asText();
                  } catch (IOException e) {
                    return "none of " + i;
                  }
                })
            .distinct()
            .count()
        == 1;
  }

  /** The numbers of the processes that run, stopped or not. */
  public List<Integer> running() {
    return IntStream.range(0, size()).filter(i -> nodes.get(i).isAlive()).boxed().toList();
  }

  /**
   * Waits until it holds, and returns after how many ms; fails with the seed's command after {@code
   * most} ms.
   */
  public double until(String what, double most, BooleanSupplier holds)
      throws IOException, InterruptedException {
    double from = timeline.now();
    while (!holds.getAsBoolean()) {
      failIfOneEndedByItself();
      if (timeline.now() > from + most) {
        StringBuilder views = new StringBuilder();
        for (int i : running()) {
          views.append("\n").append(nodes.get(i).name()).append(' ').append(members(i));
        }
        throw new AssertionError(
            "waited "
                + most
                + " ms in vain: "
                + what
                + "; replay: "
                + replay
                + "; timeline: "
                + timeline.file()
                + views);
      }
      TimeUnit.MILLISECONDS.sleep(20);
    }
    timeline.recordObservation(what, Math.round(timeline.now() - from) + " ms");
    return timeline.now() - from;
  }

  private void failIfOneEndedByItself() throws IOException {
    for (Node node : nodes) {
      if (node.hasExitedUnexpectedly()) {
        throw new AssertionError(
            node.name() + " has ended by itself; replay: " + replay + "; its log:\n" + node.log());
      }
    }
  }

  @Override
  public void close() throws IOException {
    for (Node n : nodes) {
      n.close();
    }
    ways.close();
    timeline.close();
  }
}
