import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

/**
 * What the cases share: one aggregator as a process of its own, started with the run line of the
 * deploy file; a discovery stand-in; slot servers that speak the platform's frames or the search
 * API; an HTTP client; the record. Everything is on loopback addresses.
 */
final class Rig implements AutoCloseable {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int COULD_NOT_RUN = 2;

  /** A case ends by itself long before; this ends one that does not. */
  private static final int LIMIT_SECONDS = 110;

  /** The slot servers of a cell of the same number; each holds the shards of two cells. */
  static final int CELLS = 6;

  static final int SHARDS = 12;
  private static final String ZONE_A = "gulberg";
  private static final String ZONE_B = "johar";

  final Path root;
  final Path folder;
  final int searchPort;
  final int framePort;
  final String listen;
  final String searchListen;
  final String admin;
  final Discovery discovery;
  final AtomicInteger framePartsServed = new AtomicInteger();
  final List<Process> started = new CopyOnWriteArrayList<>();
  final Map<String, String> environment = new TreeMap<>();
  private final PrintWriter record;

  /** The descriptors that the configuration allows the aggregator. */
  int sockets = 1024;

  /** Whether the search front listens; as shipped it does not. */
  boolean searchFront;

  /** The address of discovery in the configuration file. */
  String discoveryInConfig;

  private final long startNanos = System.nanoTime();

  Rig(Path root, Path recordFile) throws IOException {
    this.root = root;
    record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
    folder = Files.createTempDirectory("review");
    searchPort = freePort(hosts());
    framePort = freePort(hosts());
    listen = "127.0.0.1:" + freePort(List.of("127.0.0.1"));
    searchListen = "127.0.0.1:" + freePort(List.of("127.0.0.1"));
    admin = "127.0.0.1:" + freePort(List.of("127.0.0.1"));
    discovery = new Discovery();
    discoveryInConfig = discovery.address();
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
  }

  static List<String> hosts() {
    List<String> hosts = new ArrayList<>();
    for (int cell = 0; cell < CELLS; cell++) {
      hosts.add(host(cell));
    }
    return hosts;
  }

  static String host(int cell) {
    return "127.0.1." + (cell + 1);
  }

  /** Returns a port that is free on all of the hosts. */
  static int freePort(List<String> hosts) throws IOException {
    IOException last = null;
    for (int attempt = 0; attempt < 50; attempt++) {
      List<ServerSocket> held = new ArrayList<>();
      int port = 0;
      try {
        for (String host : hosts) {
          ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(host));
          held.add(socket);
          port = socket.getLocalPort();
        }
        return port;
      } catch (IOException taken) {
        last = taken;
      } finally {
        for (ServerSocket socket : held) {
          socket.close();
        }
      }
    }
    throw last;
  }

  /** Writes a line of the record, with the time since the start of the case in ms. */
  void note(String text) {
    long ms = (System.nanoTime() - startNanos) / 1_000_000;
    synchronized (record) {
      record.printf(Locale.ROOT, "%7d %s%n", ms, text);
    }
  }

  double seconds() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  /** Starts an aggregator with the run line of the deploy file. */
  Process startAggregator() throws IOException {
    Path config = writeConfig();
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runLine());
    builder.directory(root.toFile()).redirectErrorStream(true);
    Map<String, String> variables = builder.environment();
    variables.keySet().removeIf(name -> name.startsWith("LB_"));
    variables.put("LB_CONFIG", config.toString());
    if (searchFront) {
      Path search = folder.resolve("opensearch.json");
      Files.writeString(search, searchConfig());
      variables.put("LB_OPENSEARCH", search.toString());
    }
    variables.put("LB_ADMIN", admin);
    variables.put("TMPDIR", folder.toString());
    variables.putAll(environment);
    Process process = builder.start();
    started.add(process);
    daemon(
        () -> {
          try (BufferedReader lines =
              new BufferedReader(
                  new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
              if (!line.startsWith("\tat ")) {
                note("aggregator says: " + line);
              }
            }
          }
        });
    return process;
  }

  /** Writes the configuration file in one step, as the platform replaces it. */
  Path writeConfig() throws IOException {
    Path config = folder.resolve("config.json");
    Path next = folder.resolve("config.json.new");
    Files.writeString(next, config());
    Files.move(next, config, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    return config;
  }

  /** Sends a signal to a process that this case started. */
  void signal(String signal, Process process) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
    note("sent SIG" + signal + " to the aggregator");
  }

  private String runLine() throws IOException {
    for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
      if (line.startsWith("run = \"")) {
        return line.substring("run = \"".length(), line.lastIndexOf('"'));
      }
    }
    throw new IOException("the deploy file has no run line");
  }

  /** Waits until the aggregator says that it is ready. */
  void awaitReady(Process process) throws IOException, InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    while (System.nanoTime() < end && process.isAlive()) {
      try (Client client = new Client(listen, 1000)) {
        if (client.get("/-/ready").status() == 200) {
          note("the aggregator is ready");
          return;
        }
      } catch (IOException notYet) {
        // It is tried again below.
      }
      TimeUnit.MILLISECONDS.sleep(20);
    }
    throw new IOException("the aggregator did not become ready");
  }

  private String config() {
    return "{\"name\":\"n0\",\"listen\":\""
        + listen
        + "\",\"discovery\":\""
        + discoveryInConfig
        + "\",\"seed\":\"5d1c07aa93b24e68\","
        + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":"
        + sockets
        + "},"
        + "\"known\":"
        + discovery.list()
        + ",\"settings\":"
        + settings()
        + "}";
  }

  /** Settings of a small deployment: the classes of lahore-booking, every part with two holders. */
  private static String settings() {
    return "{\"tick\":5.0,\"instances\":1,\"selfIndex\":0,\"zone\":0,\"discovery\":\"pushed\","
        + "\"failureDomains\":[\""
        + ZONE_A
        + "\",\""
        + ZONE_B
        + "\"],\"requestClasses\":["
        + queryClass("slot-search", 6000, "pure", 0.3)
        + ","
        + queryClass("slot-booking", 5000, "token", 0.3)
        + ","
        + queryClass("stock-report", 5000, "pure", 0.1)
        + "],\"domain\":{\"cells\":"
        + CELLS
        + ",\"shards\":"
        + SHARDS
        + ",\"width\":2,\"bundleMax\":1,\"call\":0.0,\"minShare\":[1.0,1.0,0.8],"
        + "\"wholeAt\":[1.0,1.0,1.0],\"classPartial\":[0.9,0.9,0.8],\"followUp\":[0,0,0]},"
        + "\"policyLimits\":{\"connectTimeout\":250.0,\"keepalive\":15000.0,\"maxAttempts\":4,"
        + "\"maxOpen\":113,\"maxRetryAfter\":2000.0,\"mayCancel\":true,\"retryAfter\":true,"
        + "\"secondCopies\":false,\"peers\":false,\"probes\":false,\"streamsPerConn\":100},"
        + "\"rules\":{\"answerSlack\":20.0,\"cold\":17000.0,\"coldFrom\":0.2,\"fall\":1000.0,"
        + "\"mustAskIn\":10000.0,\"stopSendingWithin\":250.0,\"tipMultiple\":2.0}}";
  }

  private static String queryClass(String name, int deadline, String effect, double lateWorth) {
    return "{\"name\":\""
        + name
        + "\",\"aim\":2000.0,\"deadline\":"
        + deadline
        + ",\"dedupWindow\":5000.0,\"effect\":\""
        + effect
        + "\",\"keyScope\":\"all\",\"lateWorth\":"
        + lateWorth
        + ",\"stream\":false,\"worth\":1.0}";
  }

  /** The shipped file of the search front, with a listener and a port of the slot servers. */
  private String searchConfig() {
    return "{\"listen\":\""
        + searchListen
        + "\",\"server_port\":"
        + searchPort
        + ",\"max_result_window\":10000,\"max_searches\":64,\"max_part_bytes\":262144,"
        + "\"indices\":{\"slots\":{\"class\":\"slot-search\"},"
        + "\"bookings\":{\"class\":\"slot-booking\"},\"stock\":{\"class\":\"stock-report\"}}}";
  }

  /** One call to the admin endpoint: a line, answered by a line. */
  String callAdmin(String call) throws IOException {
    try (Socket socket = connect(admin, 3000)) {
      socket.getOutputStream().write((call + "\n").getBytes(StandardCharsets.UTF_8));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
    }
  }

  static Socket connect(String address, int timeoutMs) throws IOException {
    int colon = address.lastIndexOf(':');
    Socket socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(timeoutMs);
    socket.connect(
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
        timeoutMs);
    return socket;
  }

  interface Task {
    void run() throws Exception;
  }

  static Thread daemon(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (Exception ended) {
                // A stand-in's connection ends with an exception when its peer leaves.
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private void endProcesses() {
    for (Process process : started) {
      process.descendants().forEach(ProcessHandle::destroyForcibly);
      process.destroyForcibly();
    }
  }

  @Override
  public void close() throws IOException {
    endProcesses();
    for (Process process : started) {
      process.onExit().completeOnTimeout(process, 3, TimeUnit.SECONDS).join();
    }
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    }
  }

  /** Runs a case and ends this process with its result. */
  interface Case {
    int run(Rig rig, boolean trouble) throws Exception;
  }

  static void main(String[] arguments, Case test) {
    int result = COULD_NOT_RUN;
    try (Rig rig = new Rig(Path.of(arguments[0]), Path.of(arguments[1]))) {
      boolean trouble = !"0".equals(System.getenv("TROUBLE"));
      rig.note("trouble: " + trouble);
      daemon(
          () -> {
            TimeUnit.SECONDS.sleep(LIMIT_SECONDS);
            rig.note("the case did not end in " + LIMIT_SECONDS + " s; result: 2");
            rig.endProcesses();
            Runtime.getRuntime().halt(COULD_NOT_RUN);
          });
      try {
        result = test.run(rig, trouble);
      } catch (Exception failure) {
        rig.note("the case could not run: " + failure);
      }
      rig.note("result: " + result);
    } catch (IOException failure) {
      System.err.println("the case could not run: " + failure);
    }
    System.exit(result);
  }

  /** A discovery agent: every watch gets the whole list, then an empty line every 2 s. */
  final class Discovery {
    private final ServerSocket listener =
        new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));

    Discovery() throws IOException {
      daemon(
          () -> {
            while (true) {
              Socket socket = listener.accept();
              onConnection.run();
              daemon(() -> serve(socket));
            }
          });
    }

    /** Runs when a connection to this agent has been accepted. */
    volatile Runnable onConnection = () -> {};

    String address() {
      return "127.0.0.1:" + listener.getLocalPort();
    }

    String list() {
      StringBuilder text = new StringBuilder("{\"revision\":41,\"complete\":true,\"members\":[");
      for (int cell = 0; cell < CELLS; cell++) {
        text.append(cell == 0 ? "" : ",")
            .append("{\"id\":\"s-")
            .append(cell)
            .append("\",\"host_port\":\"")
            .append(host(cell))
            .append(":")
            .append(framePort)
            .append("\",\"locality\":\"")
            .append(cell % 2 == 0 ? ZONE_A : ZONE_B)
            .append("\",\"flavor\":\"std-2core\",\"cell\":")
            .append(cell)
            .append(",\"phase\":\"up\",\"size\":1.0,\"up_since_ms\":0}");
      }
      return text.append("]}").toString();
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
      Message request = Message.read(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      if (request == null) {
        return;
      }
      out.write(
          "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
              .getBytes(StandardCharsets.US_ASCII));
      chunk(out, list() + "\n");
      while (request.start().contains("watch=1")) {
        TimeUnit.SECONDS.sleep(2);
        chunk(out, "\n");
      }
      out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    }

    private static void chunk(OutputStream out, String text) throws IOException {
      out.write(
          (Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
              .getBytes(StandardCharsets.US_ASCII));
      out.flush();
    }
  }

  /** An HTTP message: start line, headers in lower case, body. */
  record Message(String start, Map<String, String> headers, byte[] body) {
    /** Reads a message with a length; null at the end of the connection. */
    static Message read(InputStream in) throws IOException {
      String start = line(in);
      if (start == null) {
        return null;
      }
      Map<String, String> headers = new TreeMap<>();
      for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
        int colon = line.indexOf(':');
        headers.put(
            line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
      }
      int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
      byte[] body = in.readNBytes(length);
      if (body.length < length) {
        throw new EOFException("the body ends after " + body.length + " of " + length + " bytes");
      }
      return new Message(start, headers, body);
    }

    private static String line(InputStream in) throws IOException {
      ByteArrayOutputStream line = new ByteArrayOutputStream();
      while (true) {
        int next = in.read();
        if (next < 0) {
          if (line.size() > 0) {
            throw new EOFException("the connection ends within a line");
          }
          return null;
        }
        if (next == '\n') {
          String text = line.toString(StandardCharsets.US_ASCII);
          return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
        }
        line.write(next);
      }
    }

    int status() {
      return Integer.parseInt(start.split(" ")[1]);
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /** A client connection that stays open between requests. */
  static final class Client implements AutoCloseable {
    private final Socket socket;

    Client(String address, int timeoutMs) throws IOException {
      socket = connect(address, timeoutMs);
    }

    Message get(String path) throws IOException {
      return exchange("GET " + path + " HTTP/1.1\r\nHost: backend.local\r\n\r\n", "");
    }

    Message post(String path, String headers, String body) throws IOException {
      return exchange(
          "POST "
              + path
              + " HTTP/1.1\r\nHost: backend.local\r\nContent-Type: application/json\r\n"
              + headers
              + "Content-Length: "
              + body.getBytes(StandardCharsets.UTF_8).length
              + "\r\n\r\n",
          body);
    }

    private Message exchange(String head, String body) throws IOException {
      socket.getOutputStream().write((head + body).getBytes(StandardCharsets.UTF_8));
      Message answer = Message.read(socket.getInputStream());
      if (answer == null) {
        throw new EOFException("the connection was closed without an answer");
      }
      return answer;
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  /** What a slot server does with a search of one shard. */
  interface SearchHandler {
    /**
     * Serves one request.
     *
     * @param cell the cell of the server
     * @param request the request
     * @param connection the connection, for a handler that writes by itself
     * @return the body of the answer, or null if the handler has written the answer
     */
    String serve(int cell, Message request, Socket connection) throws Exception;
  }

  /** Starts a slot server with the search API on each host. */
  void startSearchServers(SearchHandler handler) throws IOException {
    for (int index = 0; index < CELLS; index++) {
      int cell = index;
      ServerSocket listener =
          new ServerSocket(searchPort, 200, InetAddress.getByName(host(cell)));
      daemon(
          () -> {
            while (true) {
              Socket socket = listener.accept();
              socket.setTcpNoDelay(true);
              daemon(() -> serveSearches(cell, socket, handler));
            }
          });
    }
  }

  private void serveSearches(int cell, Socket socket, SearchHandler handler) throws Exception {
    try (socket) {
      InputStream in = socket.getInputStream();
      for (Message request = Message.read(in); request != null; request = Message.read(in)) {
        String body = handler.serve(cell, request, socket);
        if (body != null) {
          socket.getOutputStream().write(answer(body));
        }
      }
    }
  }

  /** Starts a slot server with the platform's frames on each host; it serves every part. */
  void startFrameServers(int workMs) throws IOException {
    for (int cell = 0; cell < CELLS; cell++) {
      ServerSocket listener =
          new ServerSocket(framePort, 200, InetAddress.getByName(host(cell)));
      daemon(
          () -> {
            while (true) {
              Socket socket = listener.accept();
              socket.setTcpNoDelay(true);
              daemon(() -> serveFrames(socket, workMs));
            }
          });
    }
  }

  /** Reads frames: a length of four bytes, least significant first, a letter, and the rest. */
  private void serveFrames(Socket socket, int workMs) throws IOException {
    try (socket) {
      DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
      while (true) {
        byte[] frame = new byte[Integer.reverseBytes(in.readInt())];
        in.readFully(frame);
        if (frame[0] == '1') {
          serveCall(frame, socket, workMs);
        }
      }
    }
  }

  /** Serves each part of a call: a line {@code ID SHARD LIST LENGTH}, then so many bytes. */
  private void serveCall(byte[] frame, Socket socket, int workMs) {
    String call = new String(frame, 1, frame.length - 1, StandardCharsets.ISO_8859_1);
    for (int at = 0; at < call.length(); ) {
      int lineEnd = call.indexOf('\n', at);
      String[] words = call.substring(at, lineEnd).split(" ");
      at = lineEnd + 1 + Integer.parseInt(words[3]);
      daemon(
          () -> {
            TimeUnit.MILLISECONDS.sleep(workMs);
            byte[] text =
                ("5" + words[0] + " S 0 -\n" + value(words[0])).getBytes(StandardCharsets.US_ASCII);
            ByteBuffer answer = ByteBuffer.allocate(4 + text.length);
            answer.putInt(Integer.reverseBytes(text.length)).put(text);
            synchronized (socket) {
              socket.getOutputStream().write(answer.array());
            }
            framePartsServed.incrementAndGet();
          });
    }
  }

  /** Returns the value that the slot servers make for a part. */
  static String value(String partId) {
    return String.format(Locale.ROOT, "%016x", partId.hashCode() * 0x9e3779b97f4a7c15L);
  }

  /** Returns the body of a platform query with parts of equal weight. */
  static String query(int... shards) {
    StringBuilder parts = new StringBuilder();
    for (int shard : shards) {
      parts
          .append(parts.length() == 0 ? "" : ",")
          .append("{\"slice\":" + shard + ",\"mass\":" + 1.0 / shards.length + "}");
    }
    return "{\"slices\":[" + parts + "],\"filter\":\"c41e77d0\"}";
  }

  /** Returns a complete answer with status 200. */
  static byte[] answer(String body) {
    byte[] content = body.getBytes(StandardCharsets.UTF_8);
    byte[] head =
        ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                + content.length
                + "\r\n\r\n")
            .getBytes(StandardCharsets.US_ASCII);
    byte[] all = new byte[head.length + content.length];
    System.arraycopy(head, 0, all, 0, head.length);
    System.arraycopy(content, 0, all, head.length, content.length);
    return all;
  }

  /** Returns the shard that a request to a slot server names. */
  static int shardOf(Message request) {
    String start = request.start();
    int from = start.indexOf("_shards:") + "_shards:".length();
    int end = from;
    while (Character.isDigit(start.charAt(end))) {
      end++;
    }
    return Integer.parseInt(start.substring(from, end));
  }

  /** Returns a number that a JSON text gives for a key. */
  static int number(String json, String key) {
    int from = json.indexOf("\"" + key + "\":") + key.length() + 3;
    int end = from;
    while (end < json.length() && Character.isDigit(json.charAt(end))) {
      end++;
    }
    return Integer.parseInt(json.substring(from, end));
  }

  /** Returns the body of an answer of a shard with the given hits. */
  static String hits(int total, String hits) {
    return "{\"took\":1,\"timed_out\":false,"
        + "\"_shards\":{\"total\":1,\"successful\":1,\"skipped\":0,\"failed\":0},"
        + "\"hits\":{\"total\":{\"value\":"
        + total
        + ",\"relation\":\"eq\"},\"max_score\":1.0,\"hits\":["
        + hits
        + "]}}";
  }

  static int count(String text, String piece) {
    int count = 0;
    for (int at = text.indexOf(piece); at >= 0; at = text.indexOf(piece, at + piece.length())) {
      count++;
    }
    return count;
  }
}
