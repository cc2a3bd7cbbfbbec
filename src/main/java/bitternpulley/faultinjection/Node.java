package bitternpulley.faultinjection;

import bitternpulley.net.HostPort;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * One aggregator of a scenario: the real program with the flags of the deploy file's {@code run}
 * line, in a folder of its own. It can be stopped and continued, killed, started again with or
 * without what it kept, and started twice.
 */
public final class Node implements AutoCloseable {
  private static final long READY_WITHIN_MS = 20_000;
  private static final int DOOR_TIMEOUT_MS = 5_000;

  private final String name;
  private final ObjectNode configuration;
  private final Path folder;
  private final Path memory;
  private final String script;
  private final HostPort front;
  private final HostPort door;
  private Process process;
  private boolean isEndExpected;
  private int starts;

  /** A node that is not started yet; {@code script} is its operators' script, or null. */
  public Node(String name, ObjectNode configuration, String script) throws IOException {
    this.name = name;
    this.configuration = configuration;
    this.script = script;
    folder = Files.createTempDirectory("bitternpulley-" + name);
    memory = Files.createDirectory(folder.resolve("memory"));
    front = HostPort.parse(configuration.path("listen").asText());
    door = new HostPort("127.0.0.1", Ports.free());
  }

  public String name() {
    return name;
  }

  /** Where its clients come. */
  public HostPort front() {
    return front;
  }

  /** Starts a process; one that ran before must have ended. */
  public Node start() throws IOException {
    starts++;
    isEndExpected = false;
    process = process();
    return this;
  }

  /**
   * Starts a second process of the same name, number and folder at other addresses: an upgrade, or
   * somebody's mistake.
   */
  public Node twin() throws IOException {
    ObjectNode other = configuration.deepCopy().put("listen", "127.0.0.1:" + Ports.free());
    Node twin = new Node(name, other, script);
    return twin.start();
  }

  private Process process() throws IOException {
    Path config = folder.resolve("config.json");
    Files.writeString(config, configuration.toString());
    ProcessBuilder builder =
        new ProcessBuilder(command())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve("log").toFile()));
    builder
        .environment()
        .putAll(
            Map.of(
                "LB_CONFIG",
                config.toString(),
                "LB_ADMIN",
                door.toString(),
                "TMPDIR",
                memory.toString()));
    if (script != null) {
      Path file = folder.resolve("broker.star");
      Files.writeString(file, script);
      builder.environment().put("LB_BROKER", file.toString());
    }
    return builder.start();
  }

  /**
   * What starts the program on the classes that this very one runs on, be they the jar or freshly
   * compiled.
   */
  public static List<String> command() throws IOException {
    String run =
        Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
            .filter(l -> l.startsWith("run"))
            .findFirst()
            .orElseThrow();
    List<String> command =
        new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin/java").toString()));
    Arrays.stream(run.split("[ \"]")).filter(w -> w.startsWith("-X")).forEach(command::add);
    command.addAll(
        List.of("-cp", System.getProperty("java.class.path"), "bitternpulley.Main", "serve"));
    return command;
  }

  /** Waits until the door says that clients are taken. */
  public Node awaitReady() throws IOException, InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_WITHIN_MS);
    while (System.nanoTime() < end && process.isAlive()) {
      try {
        if (order("health").startsWith("200")) {
          return this;
        }
      } catch (IOException e) {
        // it does not listen yet
      }
      TimeUnit.MILLISECONDS.sleep(10);
    }
    throw new IOException(name + " is not ready; its log:\n" + log());
  }

  /** What the operators' door answers to a call, without the end of its line. */
  public String order(String call) throws IOException {
    try (Socket socket = new Socket(door.host(), door.port())) {
      socket.setSoTimeout(DOOR_TIMEOUT_MS);
      socket.getOutputStream().write((call + "\n").getBytes(StandardCharsets.UTF_8));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8).trim();
    }
  }

  /** All that the processes of this node have written. */
  public String log() throws IOException {
    return Files.readString(folder.resolve("log"));
  }

  /** The id of its process, which must have been started. */
  public long pid() {
    return process.pid();
  }

  public boolean alive() {
    return process != null && process.isAlive();
  }

  /** Whether its process has ended though it was neither killed nor told to end. */
  public boolean hasEndedByItself() {
    return process != null && !process.isAlive() && !isEndExpected;
  }

  /** How often it was started. */
  public int starts() {
    return starts;
  }

  /**
   * Holds the process where it is, as a collector or a starved core would: its sockets stay open
   * and silent.
   */
  public void pause() throws IOException {
    signal("STOP");
  }

  /** Lets it go on. */
  public void resume() throws IOException {
    signal("CONT");
  }

  /** Tells it to end, as at a planned restart. */
  public void terminate() throws IOException {
    isEndExpected = true;
    signal("TERM");
  }

  /** Has it read its configuration again. */
  public void hangup() throws IOException {
    signal("HUP");
  }

  private void signal(String name) throws IOException {
    try {
      new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Ends the process at once, stopped or not; its connections are reset. */
  public void kill() {
    isEndExpected = true;
    process.destroyForcibly();
    try {
      process.waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Drops what it kept on disk, as a machine that is new does. */
  public void forget() throws IOException {
    try (var kept = Files.list(memory)) {
      kept.map(Path::toFile).forEach(File::delete);
    }
  }

  @Override
  public void close() throws IOException {
    if (process != null) {
      kill();
    }
    try (var files = Files.walk(folder)) {
      for (Path p : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(p);
      }
    }
  }
}
