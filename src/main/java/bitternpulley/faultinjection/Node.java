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
 * One aggregator of a scenario: the real program, started with the JVM flags of the deploy file's
 * {@code run} line and with a directory of its own. It can be paused and resumed, killed, restarted
 * with or without its stored state, and started twice.
 */
public final class Node implements AutoCloseable {
  private static final long READY_TIMEOUT_MS = 20_000;
  private static final int ADMIN_TIMEOUT_MS = 5_000;

  private final String name;
  private final ObjectNode configuration;
  private final Path directory;
  private final Path stateDirectory;
  private final String script;
  private final HostPort listenAddress;
  private final HostPort adminAddress;
  private Process process;
  private boolean exitExpected;
  private int startCount;

  /** Creates a node without starting it; {@code script} is its operators' script, or null. */
  public Node(String name, ObjectNode configuration, String script) throws IOException {
    this.name = name;
    this.configuration = configuration;
    this.script = script;
    directory = Files.createTempDirectory("bitternpulley-" + name);
    stateDirectory = Files.createDirectory(directory.resolve("memory"));
    listenAddress = HostPort.parse(configuration.path("listen").asText());
    adminAddress = new HostPort("127.0.0.1", Ports.reservePort());
  }

  /** Returns the name of the node. */
  public String name() {
    return name;
  }

  /** Returns the address at which the node accepts queries. */
  public HostPort queryAddress() {
    return listenAddress;
  }

  /** Starts a process; the previous one must have ended. */
  public Node start() throws IOException {
    startCount++;
    exitExpected = false;
    process = launch();
    return this;
  }

  /**
   * Starts a second process with the same name and number, but with a directory, a query address
   * and an admin address of its own, as in an upgrade or by an operator's mistake.
   */
  public Node startSecondProcess() throws IOException {
    ObjectNode otherConfiguration =
        configuration.deepCopy().put("listen", "127.0.0.1:" + Ports.reservePort());
    Node second = new Node(name, otherConfiguration, script);
    return second.start();
  }

  private Process launch() throws IOException {
    Path configurationFile = directory.resolve("config.json");
    Files.writeString(configurationFile, configuration.toString());
    ProcessBuilder builder =
        new ProcessBuilder(launchCommand())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(directory.resolve("log").toFile()));
    builder
        .environment()
        .putAll(
            Map.of(
                "LB_CONFIG",
                configurationFile.toString(),
                "LB_ADMIN",
                adminAddress.toString(),
                "TMPDIR",
                stateDirectory.toString()));
    if (script != null) {
      Path scriptFile = directory.resolve("broker.star");
      Files.writeString(scriptFile, script);
      builder.environment().put("LB_BROKER", scriptFile.toString());
    }
    return builder.start();
  }

  /**
   * Returns the command that starts the program from the class path of the current process, which
   * may be the jar or freshly compiled classes.
   */
  public static List<String> launchCommand() throws IOException {
    String runLine =
        Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
            .filter(line -> line.startsWith("run"))
            .findFirst()
            .orElseThrow();
    List<String> command =
        new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin/java").toString()));
    Arrays.stream(runLine.split("[ \"]", 0))
        .filter(word -> word.startsWith("-X"))
        .forEach(command::add);
    command.addAll(
        List.of("-cp", System.getProperty("java.class.path"), "bitternpulley.Main", "serve"));
    return command;
  }

  /** Waits until the node reports at its admin address that it accepts queries. */
  public Node awaitReady() throws IOException, InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MS);
    while (System.nanoTime() < deadline && process.isAlive()) {
      try {
        if (callAdmin("health").startsWith("200")) {
          return this;
        }
      } catch (IOException exception) {
        // the process does not listen yet
      }
      TimeUnit.MILLISECONDS.sleep(10);
    }
    throw new IOException(name + " is not ready; log:\n" + log());
  }

  /** Sends a command to the admin address and returns the answer without its line end. */
  public String callAdmin(String command) throws IOException {
    try (Socket socket = new Socket(adminAddress.host(), adminAddress.port())) {
      socket.setSoTimeout(ADMIN_TIMEOUT_MS);
      socket.getOutputStream().write((command + "\n").getBytes(StandardCharsets.UTF_8));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8).trim();
    }
  }

  /** Returns the output of all processes of this node. */
  public String log() throws IOException {
    return Files.readString(directory.resolve("log"));
  }

  /** Returns the id of the process, which must have been started. */
  public long pid() {
    return process.pid();
  }

  /** Returns whether the process was started and has not ended. */
  public boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** Returns whether the process has ended without being killed or told to terminate. */
  public boolean hasExitedUnexpectedly() {
    return process != null && !process.isAlive() && !exitExpected;
  }

  /** Returns how many times a process was started. */
  public int startCount() {
    return startCount;
  }

  /**
   * Suspends the process, as a garbage collection or a lack of processor time would: its sockets
   * stay open but silent.
   */
  public void pause() throws IOException {
    signal("STOP");
  }

  /** Lets a suspended process continue. */
  public void resume() throws IOException {
    signal("CONT");
  }

  /** Tells the process to terminate, as at a planned restart. */
  public void terminate() throws IOException {
    exitExpected = true;
    signal("TERM");
  }

  /** Makes the process reload its configuration. */
  public void reloadConfiguration() throws IOException {
    signal("HUP");
  }

  private void signal(String signalName) throws IOException {
    try {
      new ProcessBuilder("kill", "-" + signalName, String.valueOf(process.pid())).start().waitFor();
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  /** Kills the process at once, even if it is suspended; its connections are reset. */
  public void kill() {
    exitExpected = true;
    process.destroyForcibly();
    try {
      process.waitFor();
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  /** Deletes the state stored on disk, as if the node were moved to a new machine. */
  public void deleteState() throws IOException {
    try (var stateFiles = Files.list(stateDirectory)) {
      stateFiles.map(Path::toFile).forEach(File::delete);
    }
  }

  @Override
  public void close() throws IOException {
    if (process != null) {
      kill();
    }
    try (var files = Files.walk(directory)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    }
  }
}
