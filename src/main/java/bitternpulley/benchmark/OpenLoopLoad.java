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
 * Queries at a fixed rate over kept connections. Latency counts from the moment at which a query
 * was due, however late it could be sent, so that a stall of the program is seen by all queries
 * that were due in it. Bounded in count.
 */
final class OpenLoopLoad {
  private static final int CONNECTIONS = 32;
  private static final int TIMEOUT_MS = 5000;

  /** Microseconds up to which latencies are told apart, to three digits. */
  private static final long MOST_MICROS = 60_000_000;

  private static final int DIGITS = 3;

  private final HostPort front;
  private final IntFunction<String> query;
  private final ConcurrentHistogram micros = new ConcurrentHistogram(MOST_MICROS, DIGITS);
  private final AtomicInteger served = new AtomicInteger();
  private final BlockingQueue<Socket> idle = new ArrayBlockingQueue<>(CONNECTIONS);

  /** Load for a front; {@code query} gives the whole text of the n-th request. */
  OpenLoopLoad(HostPort front, IntFunction<String> query) {
    this.front = front;
    this.query = query;
  }

  /** Latencies in microseconds of the queries that were answered 200. */
  ConcurrentHistogram micros() {
    return micros;
  }

  /** Queries answered 200. */
  int served() {
    return served.get();
  }

  /**
   * Sends so many queries at so many a second, numbered from {@code first}, and waits for their
   * answers.
   */
  void run(int first, int count, double perSecond) throws InterruptedException {
    ExecutorService senders = Executors.newFixedThreadPool(CONNECTIONS);
    long from = System.nanoTime();
    for (int i = 0; i < count; i++) {
      long due = from + (long) (i * 1e9 / perSecond);
      TimeUnit.NANOSECONDS.sleep(Math.max(0, due - System.nanoTime()));
      int number = first + i;
      senders.execute(() -> ask(number, due));
    }
    senders.shutdown();
    senders.awaitTermination(2L * TIMEOUT_MS, TimeUnit.MILLISECONDS);
    senders.shutdownNow();
    for (Socket s = idle.poll(); s != null; s = idle.poll()) {
      closeQuietly(s);
    }
  }

  private void ask(int number, long due) {
    Socket socket = idle.poll();
    try {
      if (socket == null) {
        socket = new Socket(front.host(), front.port());
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(TIMEOUT_MS);
      }
      OutputStream out = socket.getOutputStream();
      out.write(query.apply(number).getBytes(StandardCharsets.US_ASCII));
      boolean ok = readAnswer(socket.getInputStream());
      if (ok) {
        served.incrementAndGet();
        micros.recordValue(Math.min(MOST_MICROS, (System.nanoTime() - due) / 1000));
      }
      if (!idle.offer(socket)) {
        closeQuietly(socket);
      }
    } catch (IOException e) {
      if (socket != null) {
        closeQuietly(socket);
      }
    }
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // it is of no further use
    }
  }

  /** Reads a whole answer with a length; whether its status is 200. */
  private static boolean readAnswer(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      if (next < 0) {
        throw new IOException("ended in its head");
      }
      head.append((char) next);
    }
    String lower = head.toString().toLowerCase(Locale.ROOT);
    int at = lower.indexOf("content-length:");
    int length =
        Integer.parseInt(
            lower.substring(at + "content-length:".length(), lower.indexOf('\r', at)).trim());
    if (in.readNBytes(length).length < length) {
      throw new IOException("ended in its body");
    }
    return head.toString().startsWith("HTTP/1.1 200 ");
  }
}
