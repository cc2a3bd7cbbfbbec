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
 * Several processes of the real program, spread over zones, with one fleet of emulated slot
 * servers. Each direction between two communicating parties, over datagrams or streams, is a link
 * of its own into which faults can be injected. The timeline records all faults and observations.
 */
public final class Cluster implements AutoCloseable {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int SERVER_COUNT = 6;
  private static final int CORES_PER_SERVER = 2;
  private static final int MAX_PENDING = 2000;

  private final List<Node> nodes = new ArrayList<>();
  private final Fleet fleet;
  private final ClusterLinks links;
  private final FaultTargets targets;
  private final Timeline timeline;
  private final String replayCommand;

  /**
   * Starts processes in two zones and waits until they are ready; {@code script} is the operators'
   * script of each process.
   */
  public Cluster(String name, int nodeCount, long seed, String script, String replayCommand)
      throws IOException, InterruptedException {
    this(name, nodeCount, List.of("gulberg", "johar"), seed, script, replayCommand);
  }

  /**
   * Starts processes, assigned to the zones in turn, and waits until they are ready; {@code
   * replayCommand} is the command that repeats the scenario.
   */
  public Cluster(
      String name,
      int nodeCount,
      List<String> zones,
      long seed,
      String script,
      String replayCommand)
      throws IOException, InterruptedException {
    fleet = new Fleet(new EventLoop(), SERVER_COUNT, CORES_PER_SERVER, zones);
    links = new ClusterLinks(nodeCount, fleet, seed);
    targets =
        new FaultTargets(
            IntStream.range(0, nodeCount)
                .mapToObj(number -> zones.get(number % zones.size()))
                .toList(),
            fleet.servers().stream().map(server -> zones.get(fleet.zoneOf(server))).toList());
    timeline = new Timeline(name, seed);
    this.replayCommand = replayCommand;
    for (int number = 0; number < nodeCount; number++) {
      String nodeName = "n" + number;
      Fleet.DiscoveryView discovery =
          fleet.createView(server -> links.proxyAddress(nodeName, server.id()));
      ObjectNode configuration =
          fleet.configuration(
              number,
              nodeCount,
              "127.0.0.1:" + Ports.reservePort(),
              MAX_PENDING,
              discovery,
              links.openStream(nodeName, "discovery", discovery.address()));
      configuration.put("peer_listen", links.datagrams().listenAddress(number).toString());
      ArrayNode peers = configuration.putArray("peers");
      links.datagrams().peerAddresses(number).forEach(peer -> peers.add(peer.toString()));
      nodes.add(new Node(nodeName, configuration, script).start());
    }
    for (Node node : nodes) {
      node.awaitReady();
    }
    timeline.recordObservation("ready", nodeCount);
  }

  /** Returns the number of processes, running or not. */
  public int size() {
    return nodes.size();
  }

  /** Returns the process with this number. */
  public Node node(int number) {
    return nodes.get(number);
  }

  /** Returns the emulated slot servers. */
  public Fleet fleet() {
    return fleet;
  }

  /** Returns how many bytes a process has sent in datagrams so far. */
  public long datagramBytesSent(int node) {
    return links.datagrams().sentBytes(node);
  }

  /** Returns the log of faults and observations. */
  public Timeline timeline() {
    return timeline;
  }

  // --- Faults ------------------------------------------------------------------------------------

  /**
   * Injects or removes a fault, and records its text in the timeline. Faults of processes: {@code
   * pause}, {@code resume}, {@code kill}, {@code restart}, {@code renew} (restart without stored
   * state), {@code leave} (SIGTERM) and {@code hangup} (SIGHUP). Faults of slot servers: {@code
   * slow FACTOR}, {@code silent}, {@code speak} (ends {@code silent}), {@code drain}, {@code up}
   * and {@code cold} (restart). The target of such a fault follows it. Faults of links: {@code
   * cut}, {@code reset}, {@code lose SHARE}, {@code delay MS JITTER}, {@code repeat SHARE}, {@code
   * garble SHARE}, {@code throttle BYTES_PER_SECOND} and {@code heal}. The two ends of the links
   * follow the fault, with {@code >} between them for one direction and {@code =} for both. {@link
   * FaultTargets} describes the syntax of targets and ends.
   */
  public void applyFault(String fault) throws IOException, InterruptedException {
    timeline.recordFault(fault);
    String[] words = fault.trim().split("\\s+", 0);
    int directionIndex = List.of(words).indexOf(">") + List.of(words).indexOf("=") + 1;
    if (directionIndex > 0) {
      applyToLinks(words, directionIndex);
      return;
    }
    for (String target : targets.resolve(words[words.length - 1])) {
      int number = Integer.parseInt(target.substring(1));
      if (target.startsWith("n")) {
        applyToNode(words[0], nodes.get(number));
      } else {
        applyToServer(words, fleet.servers().get(number));
      }
    }
  }

  private void applyToLinks(String[] words, int directionIndex) {
    Set<String> from = targets.resolve(words[directionIndex - 1]);
    Set<String> to = targets.resolve(words[directionIndex + 1]);
    Consumer<DirectedLink> fault =
        switch (words[0]) {
          case "cut" -> link -> link.setCut(true);
          case "reset" -> link -> link.setResetting(true);
          case "lose" -> link -> link.setLoss(argument(words, 1));
          case "delay" -> link -> link.setDelay(argument(words, 1), argument(words, 2));
          case "repeat" -> link -> link.setDuplication(argument(words, 1));
          case "garble" -> link -> link.setCorruption(argument(words, 1));
          case "throttle" -> link -> link.setBandwidth(argument(words, 1));
          case "heal" -> DirectedLink::heal;
          default -> throw new IllegalArgumentException("unknown fault of a link: " + words[0]);
        };
    links.forEach(from, to, words[directionIndex].equals("="), fault);
  }

  private static double argument(String[] words, int index) {
    return Double.parseDouble(words[index]);
  }

  private void applyToNode(String verb, Node node) throws IOException, InterruptedException {
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
      default -> throw new IllegalArgumentException("unknown fault of a process: " + verb);
    }
  }

  private void applyToServer(String[] words, SlotServer server) {
    switch (words[0]) {
      case "slow" -> server.setSlowdown(argument(words, 1));
      case "silent" -> server.setUnresponsive(true);
      case "speak" -> server.setUnresponsive(false);
      case "drain" -> fleet.publishPhase(server, "draining");
      case "up" -> fleet.publishPhase(server, "up");
      case "cold" -> fleet.restart(server);
      default -> throw new IllegalArgumentException("unknown fault of a slot server: " + words[0]);
    }
  }

  // --- Observations ------------------------------------------------------------------------------

  /** Returns the answer of a process to the admin command {@code members}, about all members. */
  public JsonNode members(int node) throws IOException {
    String answer = nodes.get(node).callAdmin("members");
    if (!answer.startsWith("200 ")) {
      throw new IOException(nodes.get(node).name() + ": " + answer);
    }
    return JSON.readTree(answer.substring(4));
  }

  /**
   * Returns the state of a member as a process reports it: alive, suspect, dead, left or unknown.
   */
  public String reportedState(int observer, int member) throws IOException {
    for (JsonNode entry : members(observer).path("members")) {
      if (entry.path("number").asInt() == member) {
        return entry.path("state").asText();
      }
    }
    return "unknown";
  }

  /**
   * Returns, by number, the quota that each running process reports: the share of the common budget
   * that its leases permit it to use.
   */
  public Map<Integer, Double> leaseQuotas() throws IOException {
    Map<Integer, Double> quotas = new TreeMap<>();
    for (int number : runningNodes()) {
      quotas.put(number, members(number).path("lease").path("part").asDouble());
    }
    return quotas;
  }

  /** Returns how often the processes, in total, have logged that a member is dead. */
  public long countDeathDeclarations(int member) throws IOException {
    long deaths = 0;
    for (Node node : nodes) {
      deaths +=
          node.log()
              .lines()
              .filter(
                  line ->
                      line.contains("member " + member + " ") && line.contains(" is dead, was "))
              .count();
    }
    return deaths;
  }

  /** Returns whether a process reports this state for a member; false when it does not answer. */
  public boolean reportsState(int observer, int member, String state) {
    try {
      return reportedState(observer, member).equals(state);
    } catch (IOException exception) {
      return false;
    }
  }

  /** Returns whether all other running processes report this state for a member. */
  public boolean allReportState(int member, String state) {
    return runningNodes().stream()
        .filter(observer -> observer != member)
        .allMatch(observer -> reportsState(observer, member, state));
  }

  /** Returns whether all running processes report the same membership view. */
  public boolean viewsEqual() {
    return runningNodes().stream()
            .map(
                number -> {
                  try {
                    return members(number).path("view").asText();
                  } catch (IOException exception) {
                    return "none of " + number;
                  }
                })
            .distinct()
            .count()
        == 1;
  }

  /** Returns the numbers of the running processes, including paused ones. */
  public List<Integer> runningNodes() {
    return IntStream.range(0, size())
        .filter(number -> nodes.get(number).isAlive())
        .boxed()
        .toList();
  }

  /**
   * Waits until a condition holds and returns the time waited in ms. Fails with the replay command
   * after {@code timeoutMs}, or when a process exits unexpectedly.
   */
  public double awaitCondition(String description, double timeoutMs, BooleanSupplier condition)
      throws IOException, InterruptedException {
    double startMs = timeline.elapsedMs();
    while (!condition.getAsBoolean()) {
      failOnUnexpectedExit();
      if (timeline.elapsedMs() > startMs + timeoutMs) {
        StringBuilder reports = new StringBuilder();
        for (int number : runningNodes()) {
          reports.append("\n").append(nodes.get(number).name()).append(' ').append(members(number));
        }
        throw new AssertionError(
            "condition not met within "
                + timeoutMs
                + " ms: "
                + description
                + "; replay: "
                + replayCommand
                + "; timeline: "
                + timeline.file()
                + reports);
      }
      TimeUnit.MILLISECONDS.sleep(20);
    }
    timeline.recordObservation(description, Math.round(timeline.elapsedMs() - startMs) + " ms");
    return timeline.elapsedMs() - startMs;
  }

  private void failOnUnexpectedExit() throws IOException {
    for (Node node : nodes) {
      if (node.hasExitedUnexpectedly()) {
        throw new AssertionError(
            node.name()
                + " exited unexpectedly; replay: "
                + replayCommand
                + "; log:\n"
                + node.log());
      }
    }
  }

  @Override
  public void close() throws IOException {
    for (Node node : nodes) {
      node.close();
    }
    links.close();
    timeline.close();
  }
}
