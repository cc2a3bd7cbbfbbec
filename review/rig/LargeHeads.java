import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Some hundred clients each send most of a head of the largest size at once, in many short headers,
 * stop in the middle of it and stay. Sound clients send queries meanwhile.
 */
final class LargeHeads {
  private static final int STALLED = 300;
  private static final int AT_ONCE = 30;
  private static final int QUERIES = 20;

  /** Below the bound of a head, which is 16 KiB. */
  private static final int HEAD_BYTES = 16_000;

  private LargeHeads() {}

  public static void main(String[] arguments) {
    Rig.main(arguments, LargeHeads::run);
  }

  private static int run(Rig rig, boolean trouble) throws Exception {
    rig.startFrameServers(50);
    rig.awaitReady(rig.startAggregator());
    Queries before = new Queries(rig);
    send(before, 6);
    before.join();
    rig.note("before: " + before);
    List<Socket> stalled = Collections.synchronizedList(new ArrayList<>());
    if (trouble) {
      byte[] head = head();
      ExecutorService clients = Executors.newFixedThreadPool(AT_ONCE);
      for (int client = 0; client < STALLED; client++) {
        clients.submit(
            () -> {
              Socket socket = Rig.connect(rig.listen, 10_000);
              stalled.add(socket);
              socket.getOutputStream().write(head);
              Rig.daemon(() -> readToTheEnd(socket));
              return null;
            });
      }
      clients.shutdown();
      clients.awaitTermination(20, TimeUnit.SECONDS);
      rig.note(
          stalled.size() + " clients have each sent " + head.length + " bytes of a head and stay");
    }
    Queries during = new Queries(rig);
    send(during, QUERIES);
    during.join();
    rig.note("while they stay: " + during);
    for (Socket socket : stalled) {
      socket.close();
    }
    return before.lost() + during.lost() == 0 ? Rig.HELD : Rig.BROKEN;
  }

  /** Reads whatever comes, and leaves when the aggregator ends its side. */
  private static void readToTheEnd(Socket socket) throws IOException {
    try (socket) {
      socket.setSoTimeout(0);
      while (socket.getInputStream().read() >= 0) {
        // The error is not looked at.
      }
    }
  }

  private static void send(Queries queries, int count) throws InterruptedException {
    for (int number = 0; number < count; number++) {
      queries.send();
      TimeUnit.MILLISECONDS.sleep(500);
    }
  }

  private static byte[] head() {
    StringBuilder head =
        new StringBuilder("POST /slot-search HTTP/1.1\r\nHost: backend.local\r\n");
    for (int number = 0; head.length() < HEAD_BYTES; number++) {
      head.append("x").append(Integer.toString(number, 36)).append(": 1\r\n");
    }
    return head.toString().getBytes(StandardCharsets.US_ASCII);
  }
}
