package bitternpulley.process;

import bitternpulley.faultinjection.Node;
import bitternpulley.faultinjection.Ports;
import bitternpulley.process.TestClient.Reply;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;

/**
 * The real program as a process, with a fake discovery service and fake slot servers, all on
 * loopback.
 */
final class Deployment implements AutoCloseable {
  static final ObjectMapper JSON = new ObjectMapper();
  static final int CELLS = 6;
  private static final long WAIT_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);

  final List<FakeSlotServer> servers = new ArrayList<>();
  final AttemptLog attemptLog = new AttemptLog();
  final FakeDiscovery discovery;

  /** The lines that the program has written to standard output and standard error. */
  final ConcurrentLinkedQueue<String> output = new ConcurrentLinkedQueue<>();

  final String listenAddress;
  final String searchListenAddress;
  final int searchServerPort;
  String adminAddress;
  Process process;
  private final Map<String, String> environment = new HashMap<>();
  private final ObjectNode config = JSON.createObjectNode();
  private final Path folder;

  /** The processes that were started on the held socket. */
  private final List<ProcessHandle> heldSocketProcesses = new ArrayList<>();

  Deployment() throws IOException {
    folder = Files.createTempDirectory("bitternpulley");
    searchServerPort = freePort();
    for (int i = 0; i < CELLS; i++) {
      servers.add(
          new FakeSlotServer("s" + i, i, "127.0.1." + (i + 1), searchServerPort, attemptLog));
    }
    discovery = new FakeDiscovery();
    listenAddress = "127.0.0.1:" + freePort();
    searchListenAddress = "127.0.0.1:" + freePort();
    adminAddress = "127.0.0.1:" + freePort();
    config
        .put("name", "n0")
        .put("listen", listenAddress)
        .put("discovery", discovery.address())
        .put("seed", "8c1f30d27a5be964");
    config.putObject("limits").put("cores", 1.0).put("memory_mb", 192).put("sockets", 1024);
    config.set("known", FakeDiscovery.endpointList(true, servers, "up"));
    config.set("settings", settings());
    Files.writeString(folder.resolve("opensearch.json"), searchConfig().toString());
  }

  ObjectNode config() {
    return config;
  }

  /** A port that is free on the hosts of the program and of all fake slot servers. */
  private static int freePort() throws IOException {
    return Ports.reservePort(
        IntStream.rangeClosed(0, CELLS)
            .mapToObj(i -> i == 0 ? "127.0.0.1" : "127.0.1." + i)
            .toList());
  }

  private ObjectNode searchConfig() {
    ObjectNode search =
        JSON.createObjectNode()
            .put("listen", searchListenAddress)
            .put("server_port", searchServerPort);
    ObjectNode indices = search.putObject("indices");
    indices.putObject("slots").put("class", "slot-search");
    indices.putObject("clinics").put("class", "slot-search");
    indices.putObject("bookings").put("class", "slot-booking").putArray("sections").add(0);
    indices.putObject("stock").put("class", "stock-report");
    return search;
  }

  private static ObjectNode settings() {
    ObjectNode settings =
        JSON.createObjectNode()
            .put("tick", 5.0)
            .put("instances", 1)
            .put("selfIndex", 0)
            .put("zone", 0);
    settings.putArray("failureDomains").add("gulberg").add("johar");
    addQueryClasses(settings.putArray("requestClasses"));
    ObjectNode domain =
        settings.putObject("domain").put("cells", CELLS).put("shards", CELLS).put("width", 2);
    domain.putArray("minShare").add(1).add(1).add(0.8);
    domain.putArray("wholeAt").add(1).add(1).add(1);
    domain.putArray("classPartial").add(0.9).add(0.9).add(0.8);
    settings
        .putObject("policyLimits")
        .put("connectTimeout", 250)
        .put("keepalive", 15000)
        .put("maxAttempts", 4)
        .put("maxOpen", 200)
        .put("maxRetryAfter", 2000)
        .put("mayCancel", true)
        .put("retryAfter", true)
        .put("secondCopies", false)
        .put("streamsPerConn", 100);
    settings
        .putObject("rules")
        .put("answerSlack", 20)
        .put("cold", 17000)
        .put("coldFrom", 0.2)
        .put("fall", 1000)
        .put("stopSendingWithin", 250)
        .put("tipMultiple", 2);
    return settings;
  }

  private static void addQueryClasses(ArrayNode classes) {
    for (String name : List.of("slot-search", "slot-booking", "stock-report")) {
      classes
          .addObject()
          .put("name", name)
          .put("aim", 2000)
          .put("deadline", 5000)
          .put("lateWorth", 0.3)
          .put("effect", name.equals("slot-booking") ? "token" : "pure")
          .put("dedupWindow", 5000)
          .put("worth", 1);
    }
  }

  /** Makes the program read an operators' script. */
  Deployment withOperatorsScript(Path script) {
    environment.put("LB_BROKER", script.toString());
    return this;
  }

  /**
   * Starts the program with the JVM flags of the deploy file's {@code run} line, from the classes
   * just compiled.
   */
  Deployment start() throws IOException {
    run(Node.launchCommand(), Map.of());
    return this;
  }

  /** Starts the program with SIGHUP ignored, as {@code nohup} and some service managers do. */
  Deployment startWithSighupIgnored() throws IOException {
    List<String> command =
        new ArrayList<>(List.of("/bin/sh", "-c", "trap '' HUP; exec \"$@\"", "sh"));
    command.addAll(Node.launchCommand());
    run(command, Map.of());
    return this;
  }

  /**
   * Starts a process that holds the listening socket for clients. It starts the program on this
   * socket for each admin address that it reads from standard input.
   */
  Deployment holdListenSocket() throws IOException {
    List<String> command =
        new ArrayList<>(
            List.of(
                "perl",
                "-MIO::Socket::INET",
                "-e",
                "$| = 1; $SIG{CHLD} = 'IGNORE'; "
                    + "$s = IO::Socket::INET->new("
                    + "LocalAddr => shift, Listen => 512, ReuseAddr => 1) or die $!; "
                    + "while (<STDIN>) { chomp; $ENV{LB_ADMIN} = $_; "
                    + "if (!($p = fork)) "
                    + "{ open(STDIN, '<&', $s) or die $!; exec @ARGV } print \"pid $p\\n\" }",
                listenAddress));
    command.addAll(Node.launchCommand());
    run(command, Map.of("LB_PASSED_SOCKET", "0"));
    return this;
  }

  /**
   * Starts the program on the held socket under a new admin address, and waits until it reports
   * there that it is healthy.
   */
  ProcessHandle startOnHeldSocket() throws IOException {
    adminAddress = "127.0.0.1:" + freePort();
    int startedBefore = heldSocketProcesses.size();
    process.getOutputStream().write((adminAddress + "\n").getBytes(StandardCharsets.UTF_8));
    process.getOutputStream().flush();
    await(
        "the id of the new process",
        () -> output.stream().filter(line -> line.startsWith("pid ")).count() > startedBefore);
    String lastPidLine =
        output.stream()
            .filter(line -> line.startsWith("pid "))
            .reduce((earlier, later) -> later)
            .orElseThrow();
    heldSocketProcesses.add(
        ProcessHandle.of(Long.parseLong(lastPidLine.substring(4))).orElseThrow());
    await(
        "the new process to be healthy",
        () -> {
          try {
            return callAdmin("health").startsWith("200");
          } catch (IOException e) {
            return false;
          }
        });
    return heldSocketProcesses.get(startedBefore);
  }

  private void run(List<String> command, Map<String, String> extraEnvironment) throws IOException {
    Path file = folder.resolve("config.json");
    Files.writeString(file, config.toString());
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder
        .environment()
        .putAll(
            Map.of(
                "LB_CONFIG",
                file.toString(),
                "LB_OPENSEARCH",
                folder.resolve("opensearch.json").toString(),
                "LB_ADMIN",
                adminAddress,
                "TMPDIR",
                folder.toString()));
    builder.environment().putAll(environment);
    builder.environment().putAll(extraEnvironment);
    process = builder.start();
    FakeSlotServer.runInDaemonThread(
        () -> {
          try (BufferedReader lines =
              new BufferedReader(
                  new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            lines.lines().forEach(output::add);
          }
        });
  }

  Deployment startAndAwaitReady() throws IOException {
    return start().awaitReady();
  }

  Deployment awaitReady() {
    await(
        "the program to be ready",
        () -> {
          try {
            return TestClient.exchange(listenAddress, "GET /-/ready HTTP/1.1\r\n\r\n", "").status()
                == 200;
          } catch (IOException e) {
            return false;
          }
        });
    return this;
  }

  /** Waits for a condition; the timeout is far longer than any machine needs. */
  static void await(String what, BooleanSupplier condition) {
    long deadline = System.nanoTime() + WAIT_TIMEOUT_NANOS;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadline) {
        throw new AssertionError("timed out waiting for: " + what);
      }
      Thread.onSpinWait();
      try {
        TimeUnit.MILLISECONDS.sleep(5);
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  /** Moves discovery to another port in the configuration; the open watches stay open. */
  void moveDiscovery() throws IOException {
    discovery.moveToAnotherPort();
    config.put("discovery", discovery.address());
  }

  /** Replaces the configuration file. */
  void writeConfig(String text) throws IOException {
    Files.writeString(folder.resolve("config.json"), text);
  }

  /** Replaces the configuration file and sends SIGHUP. */
  void reloadBySighup(String text) throws IOException, InterruptedException {
    writeConfig(text);
    new ProcessBuilder("kill", "-HUP", String.valueOf(process.pid())).start().waitFor();
  }

  /**
   * Sends a call to the admin endpoint in two pieces, ends the sending direction, and returns the
   * reply.
   */
  String callAdmin(String call) throws IOException {
    try (Socket socket = TestClient.connect(adminAddress)) {
      for (String piece : List.of(call.substring(0, 2), call.substring(2) + "\n")) {
        TestClient.send(socket, piece);
      }
      socket.shutdownOutput();
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  void callAdminExpectingOk(String call) throws IOException {
    String reply = callAdmin(call);
    if (!reply.startsWith("200") || !reply.endsWith("\n")) {
      throw new AssertionError(call + ": " + reply);
    }
  }

  Path folder() {
    return folder;
  }

  /** Sends a platform query and reads its answer. */
  Reply sendQuery(String queryClass, String id, int... shards) throws IOException {
    return TestClient.exchange(
        listenAddress, TestClient.queryRequest(queryClass, id, 4.5, shards), "");
  }

  /** Sends a request to the OpenSearch-style front end and reads its answer. */
  Reply sendSearch(String target, String body, String... headers) throws IOException {
    return TestClient.exchange(
        searchListenAddress,
        "POST "
            + target
            + " HTTP/1.1\r\nHost: b\r\nContent-Length: "
            + body.getBytes(StandardCharsets.UTF_8).length
            + "\r\n"
            + String.join("", Arrays.stream(headers).map(header -> header + "\r\n").toList())
            + "\r\n",
        body);
  }

  @Override
  public void close() throws IOException {
    if (process != null) {
      process.destroyForcibly();
    }
    heldSocketProcesses.forEach(ProcessHandle::destroyForcibly);
    discovery.close();
    for (FakeSlotServer server : servers) {
      server.close();
    }
  }
}
