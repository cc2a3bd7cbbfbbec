package bitternpulley.faults;

import bitternpulley.net.EventLoop;
import bitternpulley.standin.Fleet;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;

/**
 * Several processes of the real program over one fleet of stand-in servers, in two zones by turns, with a path for each
 * direction between each two; all that is done to them and seen goes to the timeline.
 */
public final class Cluster implements AutoCloseable {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int CELLS = 6;
  private static final int CORES = 2;
  private static final int HOLDS = 2000;

  private final List<Node> nodes = new ArrayList<>();
  private final Fleet fleet = new Fleet(new EventLoop(), CELLS, CORES);
  private final DatagramPaths paths;
  private final Timeline timeline;
  private final String replay;

  /** So many processes, started and ready; {@code script} is the operators' script of each. */
  public Cluster(String name, int count, long seed, String script, String replay) throws IOException, InterruptedException {
    paths = new DatagramPaths(count, seed);
    timeline = new Timeline(name, seed);
    this.replay = replay;
    for (int i = 0; i < count; i++) {
      ObjectNode config = fleet.configuration(i, count, "127.0.0.1:" + Ports.free(), HOLDS);
      config.put("peer_listen", paths.listen(i).toString());
      ArrayNode peers = config.putArray("peers");
      paths.peersOf(i).forEach(p -> peers.add(p.toString()));
      nodes.add(new Node("n" + i, config, script).start());
    }
    for (Node n : nodes) {
      n.awaitReady();
    }
    timeline.see("ready", count);
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

  public DatagramPaths paths() {
    return paths;
  }

  public Timeline timeline() {
    return timeline;
  }

  // --- Faults ------------------------------------------------------------------------------------

  public void kill(int i) {
    timeline.inject("kill", nodes.get(i).name());
    nodes.get(i).kill();
  }

  public void pause(int i) throws IOException {
    timeline.inject("pause", nodes.get(i).name());
    nodes.get(i).pause();
  }

  public void resume(int i) throws IOException {
    timeline.inject("resume", nodes.get(i).name());
    nodes.get(i).resume();
  }

  /** Starts one again, with or without what it kept. */
  public void restart(int i, boolean remembers) throws IOException, InterruptedException {
    timeline.inject(remembers ? "restart" : "restart without memory", nodes.get(i).name());
    if (!remembers) {
      nodes.get(i).forget();
    }
    nodes.get(i).start().awaitReady();
  }

  /** Cuts one direction, or mends it. */
  public void cut(int from, int to, boolean on) {
    timeline.inject(on ? "cut" : "mend", nodes.get(from).name() + ">" + nodes.get(to).name());
    paths.path(from, to).cut(on);
  }

  /** Cuts these off from all others, both ways, or mends it. */
  public void cutOff(List<Integer> some, boolean on) {
    timeline.inject(on ? "cut off" : "mend", some);
    for (int a : some) {
      IntStream.range(0, size()).filter(b -> !some.contains(b)).forEach(b -> {
        paths.path(a, b).cut(on);
        paths.path(b, a).cut(on);
      });
    }
  }

  /** Does the same to every path. */
  public void all(String what, java.util.function.Consumer<Path> fault) {
    timeline.inject(what, "all paths");
    for (int a = 0; a < size(); a++) {
      for (int b = 0; b < size(); b++) {
        fault.accept(paths.path(a, b));
      }
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

  /** Whether all processes that run hold this one so. */
  public boolean allHold(int of, String state) {
    return running().stream().filter(i -> i != of).allMatch(i -> {
      try {
        return state(i, of).equals(state);
      } catch (IOException e) {
        return false;
      }
    });
  }

  /** Whether all processes that run have the same view. */
  public boolean viewsEqual() {
    return running().stream().map(i -> {
      try {
        return members(i).path("view").asText();
      } catch (IOException e) {
        return "none of " + i;
      }
    }).distinct().count() == 1;
  }

  /** The numbers of the processes that run, stopped or not. */
  public List<Integer> running() {
    return IntStream.range(0, size()).filter(i -> nodes.get(i).alive()).boxed().toList();
  }

  /** Waits until it holds, and returns after how many ms; fails with the seed's command after {@code most} ms. */
  public double until(String what, double most, BooleanSupplier holds) throws IOException, InterruptedException {
    double from = timeline.now();
    while (!holds.getAsBoolean()) {
      if (timeline.now() > from + most) {
        StringBuilder views = new StringBuilder();
        for (int i : running()) {
          views.append("\n").append(nodes.get(i).name()).append(' ').append(members(i));
        }
        throw new AssertionError("waited " + most + " ms in vain: " + what + "; replay: " + replay + "; timeline: "
            + timeline.file() + views);
      }
      TimeUnit.MILLISECONDS.sleep(20);
    }
    timeline.see(what, Math.round(timeline.now() - from) + " ms");
    return timeline.now() - from;
  }

  @Override
  public void close() throws IOException {
    for (Node n : nodes) {
      n.close();
    }
    paths.close();
    timeline.close();
  }
}
