package bitternpulley.benchmark;

import bitternpulley.net.HostPort;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;
import org.HdrHistogram.ConcurrentHistogram;

/**
 * Sends a bounded number of queries at a fixed rate over keep-alive connections. Latency is
 * measured from the time at which a query was due, even if it was sent later, so that a stall of
 * the aggregator shows in the latency of every query that was due during the stall.
 */
final class OpenLoopLoad {
  private static final int CONNECTIONS = 32;
  private static final int TIMEOUT_MS = 5000;

  /** Highest latency that is recorded, in microseconds; a higher one is recorded as this one. */
  private static final long MAX_LATENCY_MICROS = 60_000_000;

  private static final int SIGNIFICANT_DIGITS = 3;

  private final HostPort address;
  private final IntFunction<String> requestByNumber;
  private final ConcurrentHistogram latencyMicros =
      new ConcurrentHistogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
  private final AtomicInteger served = new AtomicInteger();
  private final BlockingQueue<Socket> idleConnections = new ArrayBlockingQueue<>(CONNECTIONS);

  /**
   * Creates load for the aggregator at an address; {@code requestByNumber} returns the n-th HTTP
   * request.
   */
  OpenLoopLoad(HostPort address, IntFunction<String> requestByNumber) {
    this.address = address;
    this.requestByNumber = requestByNumber;
  }

  /** Returns the latencies in microseconds of the queries that were answered with status 200. */
  ConcurrentHistogram latencyMicros() {
    return latencyMicros;
  }

  /** Returns the number of queries that were answered with status 200. */
  int served() {
    return served.get();
  }

  /**
   * Sends {@code count} queries, numbered from {@code firstNumber}, and waits for their responses.
   */
  void run(int firstNumber, int count, double queriesPerSecond) throws InterruptedException {
    ExecutorService senders = Executors.newFixedThreadPool(CONNECTIONS);
    long startNanos = System.nanoTime();
    for (int index = 0; index < count; index++) {
      long dueNanos = startNanos + (long) (index * 1e9 / queriesPerSecond);
      TimeUnit.NANOSECONDS.sleep(Math.max(0, dueNanos - System.nanoTime()));
      int number = firstNumber + index;
      senders.execute(() -> sendQuery(number, dueNanos));
    }
    senders.shutdown();
    senders.awaitTermination(2L * TIMEOUT_MS, TimeUnit.MILLISECONDS);
    senders.shutdownNow();
    for (Socket idle = idleConnections.poll(); idle != null; idle = idleConnections.poll()) {
      closeQuietly(idle);
    }
  }

  private void sendQuery(int number, long dueNanos) {
    Socket socket = idleConnections.poll();
    try {
      if (socket == null) {
        socket = new Socket(address.host(), address.port());
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(TIMEOUT_MS);
      }
      OutputStream out = socket.getOutputStream();
      out.write(requestByNumber.apply(number).getBytes(StandardCharsets.US_ASCII));
      boolean ok = readResponse(socket.getInputStream());
      if (ok) {
        served.incrementAndGet();
        latencyMicros.recordValue(
            Math.min(MAX_LATENCY_MICROS, (System.nanoTime() - dueNanos) / 1000));
      }
      if (!idleConnections.offer(socket)) {
        closeQuietly(socket);
      }
    } catch (IOException exception) {
      if (socket != null) {
        closeQuietly(socket);
      }
    }
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException exception) {
      // The socket is not used again.
    }
  }

  /** Reads a response with a Content-Length header and returns whether its status is 200. */
  private static boolean readResponse(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      if (next < 0) {
        throw new IOException("connection closed before the end of the response head");
      }
      head.append((char) next);
    }
    String lowerCaseHead = head.toString().toLowerCase(Locale.ROOT);
    int lengthHeader = lowerCaseHead.indexOf("content-length:");
    int lengthStart = lengthHeader + "content-length:".length();
    int length =
        Integer.parseInt(
            lowerCaseHead.substring(lengthStart, lowerCaseHead.indexOf('\r', lengthHeader)).trim());
    if (in.readNBytes(length).length < length) {
      throw new IOException("connection closed before the end of the response body");
    }
    return head.toString().startsWith("HTTP/1.1 200 ");
  }
}
