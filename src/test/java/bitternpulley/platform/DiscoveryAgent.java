package bitternpulley.platform;

import bitternpulley.faultinjection.Ports;
import bitternpulley.net.HostPort;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** A discovery agent whose watches a test answers as slowly as it likes, each on its own thread. */
final class DiscoveryAgent implements AutoCloseable {
  static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  /** Answers one watch, whose request has been read. */
  interface Answer {
    void send(int number, Socket watch) throws IOException, InterruptedException;
  }

  /** The watches whose request has been read, in order. */
  final List<Socket> watches = new CopyOnWriteArrayList<>();

  private final ServerSocket listener;
  private final Answer answer;

  /** Listens on a port that is not given to any later test, as its clients go on connecting. */
  DiscoveryAgent(Answer answer) throws IOException {
    this.answer = answer;
    listener = new ServerSocket(Ports.reservePort(), 50, InetAddress.getLoopbackAddress());
    runInDaemonThread(this::accept);
  }

  /** Leaves a watch open without an answer. */
  static Answer none() {
    return (number, watch) -> {};
  }

  HostPort address() {
    return new HostPort("127.0.0.1", listener.getLocalPort());
  }

  private void accept() throws IOException {
    while (true) {
      Socket watch = listener.accept();
      runInDaemonThread(() -> serve(watch));
    }
  }

  private void serve(Socket watch) throws IOException, InterruptedException {
    int matched = 0;
    while (matched < 4) {
      int next = watch.getInputStream().read();
      matched = next == "\r\n\r\n".charAt(matched) ? matched + 1 : next == '\r' ? 1 : 0;
      if (next < 0) {
        return;
      }
    }
    int number;
    synchronized (watches) {
      number = watches.size();
      watches.add(watch);
    }
    answer.send(number, watch);
  }

  static void write(Socket watch, String text) throws IOException {
    watch.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    watch.getOutputStream().flush();
  }

  /** Writes a text in ten pieces, the last one after this time. */
  static void writeInPieces(Socket watch, String text, double durationMs)
      throws IOException, InterruptedException {
    int pieceLength = (text.length() + 9) / 10;
    for (int begin = 0; begin < text.length(); begin += pieceLength) {
      pause(durationMs / 10);
      write(watch, text.substring(begin, Math.min(text.length(), begin + pieceLength)));
    }
  }

  /** Encodes a text as one chunk of a response. */
  static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  /** A list of one server under a revision, as a line. */
  static String list(int revision) {
    return "{\"revision\":"
        + revision
        + ",\"complete\":false,\"members\":[{\"id\":\"s1\",\"host_port\":\"127.0.0.1:1\","
        + "\"locality\":\"a\",\"cell\":0,\"phase\":\"up\",\"size\":1.0,\"up_since_ms\":0}]}\n";
  }

  static void pause(double ms) throws InterruptedException {
    TimeUnit.MICROSECONDS.sleep((long) (1000 * ms));
  }

  /** Whether the client closes this watch within 10 s. */
  static boolean isClosedByClient(Socket watch) throws IOException {
    watch.setSoTimeout(10_000);
    try {
      return watch.getInputStream().read() < 0;
    } catch (SocketTimeoutException stillOpen) {
      return false;
    } catch (IOException reset) {
      return true;
    }
  }

  private interface Task {
    void run() throws IOException, InterruptedException;
  }

  private static void runInDaemonThread(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException | InterruptedException ended) {
                // The connection or the agent was closed.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket watch : watches) {
      watch.close();
    }
  }
}
