package bitternpulley.process;

import bitternpulley.faultinjection.Node;
import bitternpulley.faultinjection.Ports;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.IntStream;

/**
 * The real program as a process, with stand-ins of ours for discovery and the slot servers, all on
 * loopback.
 */
final class Deployment implements AutoCloseable {
  static final ObjectMapper JSON = new ObjectMapper();
  static final int CELLS = 6;
  private static final long PATIENCE = TimeUnit.SECONDS.toNanos(30);

  final List<StandIn> servers = new ArrayList<>();
  final AttemptLog log = new AttemptLog();
  final List<String> watches = new CopyOnWriteArrayList<>();
  final ConcurrentLinkedQueue<String> output = new ConcurrentLinkedQueue<>();
  final String listen;
  final String searchListen;
  final int searchPort;
  String admin;
  private final Map<String, String> environment = new java.util.HashMap<>();
  private ServerSocket discovery;
  private final List<Socket> watching = new CopyOnWriteArrayList<>();
  private final ObjectNode config = JSON.createObjectNode();
  private final Path folder;
  private int revision = 41;

  /** What each watch is told first, and when. */
  volatile Supplier<ObjectNode> firstWord = () -> list(false, List.of(), "up");

  Process process;
  private final List<ProcessHandle> beside = new ArrayList<>();

  Deployment() throws IOException {
    folder = Files.createTempDirectory("bitternpulley");
    int port = freePort();
    searchPort = port;
    for (int i = 0; i < CELLS; i++) {
      servers.add(new StandIn("s" + i, i, "127.0.1." + (i + 1), port, log));
    }
    discovery = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    listen = "127.0.0.1:" + freePort();
    searchListen = "127.0.0.1:" + freePort();
    admin = "127.0.0.1:" + freePort();
    StandIn.daemon(() -> serveDiscovery(discovery));
    config
        .put("name", "n0")
        .put("listen", listen)
        .put("discovery", "127.0.0.1:" + discovery.getLocalPort())
        .put("seed", "8c1f30d27a5be964");
    config.putObject("limits").put("cores", 1.0).put("memory_mb", 192).put("sockets", 1024);
    config.set("known", list(true, servers, "up"));
    config.set("settings", settings());
    ObjectNode search =
        JSON.createObjectNode().put("listen", searchListen).put("server_port", port);
    ObjectNode indices = search.putObject("indices");
    indices.putObject("slots").put("class", "slot-search");
    indices.putObject("clinics").put("class", "slot-search");
    indices.putObject("bookings").put("class", "slot-booking").putArray("sections").add(0);
    indices.putObject("stock").put("class", "stock-report");
    Files.writeString(folder.resolve("opensearch.json"), search.toString());
  }

  ObjectNode config() {
    return config;
  }

  /** A port free on all hosts of the stand-ins and the program. */
  private static int freePort() throws IOException {
    return Ports.free(
        IntStream.rangeClosed(0, CELLS)
            .mapToObj(i -> i == 0 ? "127.0.0.1" : "127.0.1." + i)
            .toList());
  }

  private static ObjectNode settings() {
    ObjectNode s =
        JSON.createObjectNode()
            .put("tick", 5.0)
            .put("instances", 1)
            .put("selfIndex", 0)
            .put("zone", 0);
    s.putArray("failureDomains").add("gulberg").add("johar");
    ArrayNode classes = s.putArray("requestClasses");
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
    ObjectNode domain =
        s.putObject("domain").put("cells", CELLS).put("shards", CELLS).put("width", 2);
    domain.putArray("minShare").add(1).add(1).add(0.8);
    domain.putArray("wholeAt").add(1).add(1).add(1);
    domain.putArray("classPartial").add(0.9).add(0.9).add(0.8);
    s.putObject("policyLimits")
        .put("connectTimeout", 250)
        .put("keepalive", 15000)
        .put("maxAttempts", 4)
        .put("maxOpen", 200)
        .put("maxRetryAfter", 2000)
        .put("mayCancel", true)
        .put("retryAfter", true)
        .put("secondCopies", false)
        .put("streamsPerConn", 100);
    s.putObject("rules")
        .put("answerSlack", 20)
        .put("cold", 17000)
        .put("coldFrom", 0.2)
        .put("fall", 1000)
        .put("stopSendingWithin", 250)
        .put("tipMultiple", 2);
    return s;
  }

  static ObjectNode list(boolean complete, List<StandIn> of, String phase) {
    ObjectNode list = JSON.createObjectNode().put("revision", 41).put("complete", complete);
    ArrayNode members = list.putArray("members");
    for (StandIn s : of) {
      members
          .addObject()
          .put("id", s.id)
          .put("host_port", s.host + ":" + s.framePort())
          .put("locality", s.cell % 2 == 0 ? "gulberg" : "johar")
          .put("cell", s.cell)
          .put("phase", phase)
          .put("size", 1.0)
          .put("up_since_ms", 0);
    }
    return list;
  }

  /** Has the program read an operators' script. */
  Deployment withBroker(Path script) {
    environment.put("LB_BROKER", script.toString());
    return this;
  }

  /**
   * Starts the program with the flags of the deploy file's {@code run}, on the classes just
   * compiled.
   */
  Deployment start() throws IOException {
    run(Node.command(), Map.of());
    return this;
  }

  /** Starts the program as {@code nohup} and some service managers do: with SIGHUP ignored. */
  Deployment startWithHangupIgnored() throws IOException {
    List<String> ignoring =
        new ArrayList<>(List.of("/bin/sh", "-c", "trap '' HUP; exec \"$@\"", "sh"));
    ignoring.addAll(Node.command());
    run(ignoring, Map.of());
    return this;
  }

  /**
   * Holds the clients' listening socket in a process of its own, which starts the program whenever
   * asked to.
   */
  Deployment holdSocket() throws IOException {
    List<String> holder =
        new ArrayList<>(
            List.of(
                "perl",
                "-MIO::Socket::INET",
                "-e",
                "$| = 1; $SIG{CHLD} = 'IGNORE'; "
                    + "$s = IO::Socket::INET->new(LocalAddr => shift, Listen => 512, ReuseAddr => 1) or die $!; "
                    + "while (<STDIN>) { chomp; $ENV{LB_ADMIN} = $_; "
                    + "if (!($p = fork)) { open(STDIN, '<&', $s) or die $!; exec @ARGV } print \"pid $p\\n\" }",
                listen));
    holder.addAll(Node.command());
    run(holder, Map.of("LB_PASSED_SOCKET", "0"));
    return this;
  }

  /**
   * Starts the program on the socket that is held, and waits until it takes clients at this door.
   */
  ProcessHandle startBeside() throws IOException {
    admin = "127.0.0.1:" + freePort();
    int before = beside.size();
    process.getOutputStream().write((admin + "\n").getBytes());
    process.getOutputStream().flush();
    await("its id", () -> output.stream().filter(l -> l.startsWith("pid ")).count() > before);
    String last =
        output.stream().filter(l -> l.startsWith("pid ")).reduce((a, b) -> b).orElseThrow();
    beside.add(ProcessHandle.of(Long.parseLong(last.substring(4))).orElseThrow());
    await(
        "a yes",
        () -> {
          try {
            return order("health").startsWith("200");
          } catch (IOException e) {
            return false;
          }
        });
    return beside.get(before);
  }

  private void run(List<String> command, Map<String, String> more) throws IOException {
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
                admin,
                "TMPDIR",
                folder.toString()));
    builder.environment().putAll(environment);
    builder.environment().putAll(more);
    process = builder.start();
    StandIn.daemon(
        () -> {
          try (BufferedReader lines =
              new BufferedReader(new InputStreamReader(process.getInputStream()))) {
            lines.lines().forEach(output::add);
          }
        });
  }

  Deployment startAndAwaitReady() throws IOException {
    return start().awaitReady();
  }

  Deployment awaitReady() {
    await(
        "ready",
        () -> {
          try {
            return call(listen, "GET /-/ready HTTP/1.1\r\n\r\n", "").status == 200;
          } catch (IOException e) {
            return false;
          }
        });
    return this;
  }

  /** Waits on a condition, far beyond what any machine needs. */
  static void await(String what, BooleanSupplier until) {
    long end = System.nanoTime() + PATIENCE;
    while (!until.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new AssertionError("waited in vain: " + what);
      }
      Thread.onSpinWait();
      try {
        TimeUnit.MILLISECONDS.sleep(5);
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  // --- Discovery -------------------------------------------------------------------------------

  private void serveDiscovery(ServerSocket at) throws IOException {
    while (true) {
      Socket socket = at.accept();
      String target = StandIn.head(socket.getInputStream())[0];
      watches.add(target);
      socket
          .getOutputStream()
          .write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes());
      String first = firstWord.get() + "\n";
      socket
          .getOutputStream()
          .write((Integer.toHexString(first.length()) + "\r\n" + first + "\r\n").getBytes());
      watching.add(socket);
    }
  }

  /** Has discovery take watches and say nothing on them until then. */
  void keepDiscoverySilent(CountDownLatch until) {
    firstWord =
        () -> {
          try {
            until.await();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
          return list(false, List.of(), "up");
        };
  }

  /** Tells a change of one server, split in two in the middle of the line. */
  void tell(StandIn server, String phase) throws IOException {
    tellOf(++revision, server, phase);
  }

  void tellOf(int told, StandIn server, String phase) throws IOException {
    tell(list(false, List.of(server), phase).put("revision", told));
  }

  /** Tells a whole list. */
  void tellAll(List<StandIn> of) throws IOException {
    tell(list(true, of, "up").put("revision", ++revision));
  }

  private void tell(ObjectNode list) throws IOException {
    await("a watch", () -> !watching.isEmpty());
    String line = list + "\n";
    Socket socket = watching.get(watching.size() - 1);
    for (String piece : List.of(line.substring(0, 20), line.substring(20))) {
      socket
          .getOutputStream()
          .write((Integer.toHexString(piece.length()) + "\r\n" + piece + "\r\n").getBytes());
      socket.getOutputStream().flush();
    }
  }

  /** Has discovery answer at another address only; the watches that are open stay so. */
  void moveDiscovery() throws IOException {
    discovery.close();
    ServerSocket moved = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    discovery = moved;
    StandIn.daemon(() -> serveDiscovery(moved));
    config.put("discovery", "127.0.0.1:" + moved.getLocalPort());
  }

  /** Replaces the configuration file. */
  void configure(String text) throws IOException {
    Files.writeString(folder.resolve("config.json"), text);
  }

  /** Replaces the configuration file and sends SIGHUP. */
  void hangup(String text) throws Exception {
    configure(text);
    new ProcessBuilder("kill", "-HUP", String.valueOf(process.pid())).start().waitFor();
  }

  void breakWatches() throws IOException {
    for (Socket s : watching) {
      s.close();
    }
    watching.clear();
  }

  // --- Operators --------------------------------------------------------------------------------

  /** What the door answers to a call, which is written in pieces and whose side is then ended. */
  String order(String call) throws IOException {
    try (Socket socket = connect(admin)) {
      for (String piece : List.of(call.substring(0, 2), call.substring(2) + "\n")) {
        socket.getOutputStream().write(piece.getBytes(StandardCharsets.UTF_8));
      }
      socket.shutdownOutput();
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  void mustOrder(String call) throws IOException {
    String answer = order(call);
    if (!answer.startsWith("200") || !answer.endsWith("\n")) {
      throw new AssertionError(call + ": " + answer);
    }
  }

  Path folder() {
    return folder;
  }

  // --- Clients ---------------------------------------------------------------------------------

  record Reply(int status, Map<String, String> headers, String body) {
    JsonNode json() {
      try {
        return JSON.readTree(body);
      } catch (IOException e) {
        throw new AssertionError("not JSON: " + body, e);
      }
    }
  }

  /** Sends one request over a connection of its own and reads the whole answer. */
  static Reply call(String to, String head, String body) throws IOException {
    try (Socket socket = connect(to)) {
      socket.getOutputStream().write((head + body).getBytes(StandardCharsets.UTF_8));
      return reply(socket);
    }
  }

  static Socket connect(String to) throws IOException {
    String[] words = to.split(":");
    Socket socket = new Socket(words[0], Integer.parseInt(words[1]));
    socket.setSoTimeout((int) TimeUnit.NANOSECONDS.toMillis(PATIENCE));
    socket.setTcpNoDelay(true);
    return socket;
  }

  static Reply reply(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    String[] head = StandIn.head(in);
    Map<String, String> headers = StandIn.headers(head);
    byte[] body = in.readNBytes(Integer.parseInt(headers.get("content-length")));
    return new Reply(
        Integer.parseInt(head[0].split(" ")[1]), headers, new String(body, StandardCharsets.UTF_8));
  }

  /** A platform query of a class over some sections of equal weight, as it goes over the wire. */
  static String query(String requestClass, String id, double seconds, int... sections) {
    ObjectNode body = JSON.createObjectNode().put("filter", "c41e77d0");
    ArrayNode slices = body.putArray("slices");
    for (int s : sections) {
      slices.addObject().put("slice", s).put("mass", 1.0 / sections.length);
    }
    return "POST /"
        + requestClass
        + " HTTP/1.1\r\nHost: b\r\nRequest-Id: "
        + id
        + "\r\nRequest-Timeout: "
        + seconds
        + "\r\nIdempotency-Key: k-"
        + id
        + "\r\nContent-Length: "
        + body.toString().length()
        + "\r\n\r\n"
        + body;
  }

  Reply ask(String requestClass, String id, int... sections) throws IOException {
    return call(listen, query(requestClass, id, 4.5, sections), "");
  }

  Reply search(String target, String body, String... headers) throws IOException {
    return call(
        searchListen,
        "POST "
            + target
            + " HTTP/1.1\r\nHost: b\r\nContent-Length: "
            + body.getBytes(StandardCharsets.UTF_8).length
            + "\r\n"
            + String.join("", Arrays.stream(headers).map(h -> h + "\r\n").toList())
            + "\r\n",
        body);
  }

  @Override
  public void close() throws IOException {
    if (process != null) {
      process.destroyForcibly();
    }
    beside.forEach(ProcessHandle::destroyForcibly);
    discovery.close();
    breakWatches();
    for (StandIn s : servers) {
      s.close();
    }
  }
}
