import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Helper of the review's cases: starts aggregators with the command of the deploy file, writes the
 * record, finds free ports, and ends everything that it started. It uses the JDK only.
 */
final class Rig {
  /** Whether the case plays its disruption. */
  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

  private static final long LIMIT_MS = 112_000;

  interface Case {
    /** Returns whether the rule held. */
    boolean run(Rig rig) throws Exception;
  }

  final Path folder;
  private final Path temporary;
  private final PrintWriter record;
  private final long startNanos = System.nanoTime();
  private final List<Process> processes = new ArrayList<>();

  private Rig(Path folder) throws IOException {
    this.folder = folder;
    temporary = Files.createTempDirectory("review");
    record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
    log("trouble " + (TROUBLE ? "on" : "off"));
  }

  /** Runs a case and ends this process: 0 if the rule held, 1 if not, 2 if it could not run. */
  static void main(String[] args, Case toRun) {
    int status = 2;
    Rig rig = null;
    try {
      rig = new Rig(Path.of(args[0]));
      Rig started = rig;
      Thread watchdog =
          new Thread(
              () -> {
                sleep(LIMIT_MS);
                started.log("RESULT 2: the time limit of the case is over");
                started.end();
                Runtime.getRuntime().halt(2);
              });
      watchdog.setDaemon(true);
      watchdog.start();
      Runtime.getRuntime().addShutdownHook(new Thread(started::end));
      boolean held = toRun.run(rig);
      status = held ? 0 : 1;
      rig.log("RESULT " + status + ": the rule " + (held ? "held" : "was broken"));
    } catch (Throwable failure) {
      if (rig != null) {
        rig.log("RESULT 2: the case could not run: " + failure);
      }
      failure.printStackTrace();
    }
    if (rig != null) {
      rig.end();
    }
    Runtime.getRuntime().halt(status);
  }

  private synchronized void end() {
    for (Process process : processes) {
      process.descendants().forEach(ProcessHandle::destroyForcibly);
      process.destroyForcibly();
    }
    processes.clear();
    try (var files = Files.walk(temporary)) {
      files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
    } catch (IOException failure) {
      // Nothing of the folder is needed any more.
    }
  }

  double ms() {
    return (System.nanoTime() - startNanos) / 1e6;
  }

  void log(String text) {
    synchronized (record) {
      record.println(String.format(Locale.ROOT, "%10.1f %s", ms(), text));
    }
  }

  static void sleep(double ms) {
    try {
      TimeUnit.MICROSECONDS.sleep(Math.max(0, (long) (1000 * ms)));
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  static int freePort(String host) throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
      return socket.getLocalPort();
    }
  }

  Path file(String name, String text) throws IOException {
    Path file = temporary.resolve(name);
    Path next = temporary.resolve(name + ".next");
    Files.writeString(next, text);
    Files.move(next, file, java.nio.file.StandardCopyOption.ATOMIC_MOVE);
    return file;
  }

  /** A command of the deploy file. */
  static String command(String key) throws IOException {
    for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
      if (line.startsWith(key + " = \"")) {
        return line.substring(key.length() + 4, line.lastIndexOf('"'));
      }
    }
    throw new IOException("the deploy file has no " + key);
  }

  /** Starts a command of the deploy file; its output goes to a file unless it is piped. */
  synchronized Process start(String key, String name, Map<String, String> environment, boolean piped)
      throws IOException {
    Path state = Files.createDirectories(temporary.resolve(name + "-state"));
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command(key));
    builder.environment().keySet().removeIf(variable -> variable.startsWith("LB_"));
    builder.environment().put("TMPDIR", state.toString());
    builder.environment().putAll(environment);
    if (piped) {
      builder.redirectError(temporary.resolve(name + ".log").toFile());
    } else {
      builder.redirectErrorStream(true);
      builder.redirectOutput(
          ProcessBuilder.Redirect.appendTo(temporary.resolve(name + ".log").toFile()));
    }
    Process process = builder.start();
    processes.add(process);
    log("started " + name);
    return process;
  }

  String output(String name) throws IOException {
    return Files.readString(temporary.resolve(name + ".log"));
  }

  static void signal(Process process, String signal) throws Exception {
    new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
  }

  /** Waits until an aggregator says that it is ready. */
  void awaitReady(Process process, String name, String address) throws Exception {
    for (int i = 0; i < 3000 && process.isAlive(); i++) {
      try (Http http = new Http(address, 1000)) {
        if (http.get("/-/ready").status == 200) {
          log(name + " is ready");
          return;
        }
      } catch (IOException notYet) {
        // It does not listen yet.
      }
      sleep(10);
    }
    throw new IOException(name + " is not ready: " + output(name));
  }

  static String hex(long value) {
    return String.format(Locale.ROOT, "%016x", value);
  }

  /** An HTTP/1.1 connection of a client. */
  static final class Http implements AutoCloseable {
    static final class Answer {
      int status;
      String head;
      byte[] body;

      String text() {
        return new String(body, StandardCharsets.UTF_8);
      }
    }

    private final Socket socket = new Socket();
    private final InputStream in;
    private final OutputStream out;

    Http(String address, int timeoutMs) throws IOException {
      socket.connect(address(address), timeoutMs);
      socket.setSoTimeout(timeoutMs);
      socket.setTcpNoDelay(true);
      in = new java.io.BufferedInputStream(socket.getInputStream());
      out = socket.getOutputStream();
    }

    Answer get(String path) throws IOException {
      send("GET " + path + " HTTP/1.1\r\nHost: backend.local\r\n\r\n", new byte[0]);
      return read();
    }

    Answer post(String path, String headers, byte[] body) throws IOException {
      sendPost(path, headers, body);
      return read();
    }

    void sendPost(String path, String headers, byte[] body) throws IOException {
      send(
          "POST "
              + path
              + " HTTP/1.1\r\nHost: backend.local\r\n"
              + headers
              + "Content-Length: "
              + body.length
              + "\r\n\r\n",
          body);
    }

    private void send(String head, byte[] body) throws IOException {
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      bytes.writeBytes(head.getBytes(StandardCharsets.US_ASCII));
      bytes.writeBytes(body);
      out.write(bytes.toByteArray());
      out.flush();
    }

    Answer read() throws IOException {
      Answer answer = new Answer();
      StringBuilder head = new StringBuilder();
      while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
        int next = in.read();
        if (next < 0) {
          throw new EOFException("the connection ended within the head of an answer");
        }
        head.append((char) next);
      }
      answer.head = head.toString();
      answer.status = Integer.parseInt(answer.head.split(" ", 3)[1]);
      int length = 0;
      for (String line : answer.head.split("\r\n")) {
        if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
          length = Integer.parseInt(line.substring(15).strip());
        }
      }
      answer.body = in.readNBytes(length);
      if (answer.body.length < length) {
        throw new EOFException("the connection ended within an answer");
      }
      return answer;
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    return new InetSocketAddress(
        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  /** Writes the file of the OpenSearch-style front, with the bounds of the one as shipped. */
  static String front(Rig rig, String listen, int serverPort) throws IOException {
    return rig.file(
            "opensearch.json",
            "{\"listen\":\""
                + listen
                + "\",\"server_port\":"
                + serverPort
                + ",\"max_result_window\":10000,\"max_searches\":64,\"max_part_bytes\":262144,"
                + "\"indices\":{\"stock\":{\"class\":\"slot-search\"}}}")
        .toString();
  }

  /** The settings of a small deployment; {@code more} is added to those of the layout. */
  static String settings(int cells, int shards, int maxOpen, String classes, String more) {
    return "{\"tick\":5.0,\"instances\":1,\"selfIndex\":0,\"zone\":0,\"tier\":0,"
        + "\"failureDomains\":[\"lhr-gulberg\",\"lhr-johar\"],\"discovery\":\"pushed\","
        + "\"requestClasses\":["
        + classes
        + "],\"domain\":{\"bundleMax\":1,\"call\":0.0,\"cells\":"
        + cells
        + ",\"shards\":"
        + shards
        + ",\"width\":2,\"classPartial\":[0.9,0.9,0.8],\"followUp\":[0,0,0],"
        + "\"minShare\":[1.0,1.0,0.8],\"wholeAt\":[1.0,1.0,1.0]"
        + more
        + "},\"policyLimits\":{\"connectTimeout\":250.0,\"keepalive\":15000.0,\"maxAttempts\":4,"
        + "\"maxOpen\":"
        + maxOpen
        + ",\"maxRetryAfter\":2000.0,\"mayCancel\":true,\"peers\":false,\"probes\":true,"
        + "\"retryAfter\":true,\"secondCopies\":false,\"streamsPerConn\":100},"
        + "\"costs\":{\"crossZone\":0.052,\"handshake\":0.0,\"lateFail\":0.093,\"waste\":0.024},"
        + "\"rules\":{\"answerSlack\":20.0,\"cold\":17000.0,\"coldFrom\":0.2,\"fall\":1000.0,"
        + "\"mustAskIn\":10000.0,\"stopSendingWithin\":250.0,\"tipMultiple\":2.0}}";
  }

  static String queryClass(String name, String effect, double worth) {
    return "{\"name\":\""
        + name
        + "\",\"aim\":2000.0,\"deadline\":"
        + (name.equals("slot-search") ? 6000.0 : 5000.0)
        + ",\"lateWorth\":"
        + (name.equals("stock-report") ? 0.1 : 0.3)
        + ",\"effect\":\""
        + effect
        + "\",\"dedupWindow\":5000.0,\"keyScope\":\"all\",\"stream\":false,\"worth\":"
        + worth
        + "}";
  }

  static String lahoreClasses() {
    return queryClass("slot-search", "pure", 1)
        + ","
        + queryClass("slot-booking", "token", 2)
        + ","
        + queryClass("stock-report", "pure", 5);
  }

  static String config(
      String name, String listen, String discovery, String known, String settings) {
    return "{\"name\":\""
        + name
        + "\",\"listen\":\""
        + listen
        + "\",\"discovery\":\""
        + discovery
        + "\",\"seed\":\"8c1f30d27a5be964\","
        + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":"
        + known
        + ",\"settings\":"
        + settings
        + "}";
  }
}
