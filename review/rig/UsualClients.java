import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Six clients of the platform's front. Each sends a query of four parts every half a second, on a
 * new connection now and then, and checks the answer.
 */
final class UsualClients {
  private static final int CLIENTS = 6;
  private static final int INTERVAL_MS = 500;
  private static final int REQUESTS_PER_CONNECTION = 5;
  private static final double TIMEOUT_S = 2;

  /** Up to half a second after its time a request only earns nothing. */
  private static final int FINAL_ANSWER_MS = 2500;

  private final Rig rig;
  private final double end;
  private final List<Thread> clients = new ArrayList<>();
  private final AtomicInteger lastId = new AtomicInteger();

  /** Requests with an answer, whatever its status. */
  final AtomicInteger answered = new AtomicInteger();

  /** Requests served with a value that no slot server made for them. */
  final AtomicInteger wrong = new AtomicInteger();

  /** Requests without an answer 2.5 s after they were written, their connection still open. */
  final AtomicInteger unanswered = new AtomicInteger();

  /** Requests whose connection ended without an answer. */
  final AtomicInteger closed = new AtomicInteger();

  /** Attempts to connect that were refused. */
  final AtomicInteger refused = new AtomicInteger();

  UsualClients(Rig rig, double durationS) {
    this.rig = rig;
    this.end = rig.seconds() + durationS;
    for (int index = 0; index < CLIENTS; index++) {
      clients.add(Rig.daemon(this::sendRequests));
    }
  }

  void await() throws InterruptedException {
    for (Thread client : clients) {
      client.join();
    }
    rig.note(
        "usual requests: answered "
            + answered
            + ", answered wrongly "
            + wrong
            + ", unanswered on an open connection "
            + unanswered
            + ", connection ended without an answer "
            + closed
            + "; connections refused "
            + refused
            + "; parts run "
            + rig.framePartsServed);
  }

  private void sendRequests() throws InterruptedException {
    while (rig.seconds() < end) {
      try (Rig.Client client = new Rig.Client(rig.listen, FINAL_ANSWER_MS)) {
        for (int count = 0; count < REQUESTS_PER_CONNECTION && rig.seconds() < end; count++) {
          if (!sendRequest(client)) {
            break;
          }
          TimeUnit.MILLISECONDS.sleep(INTERVAL_MS);
        }
      } catch (IOException notConnected) {
        refused.incrementAndGet();
        rig.note("a usual client could not connect: " + notConnected);
        TimeUnit.MILLISECONDS.sleep(INTERVAL_MS);
      }
    }
  }

  /** Sends a query; returns whether the connection stays open. */
  private boolean sendRequest(Rig.Client client) {
    String id = "q" + lastId.incrementAndGet();
    try {
      Rig.Message answer =
          client.post(
              "/slot-search",
              "Request-Id: " + id + "\r\nRequest-Timeout: " + TIMEOUT_S + "\r\n",
              Rig.query(1, 2, 3, 4));
      answered.incrementAndGet();
      boolean served = answer.status() == 200;
      for (int shard = 1; served && shard <= 4; shard++) {
        if (!answer.text().contains(Rig.value(id + "." + shard))) {
          wrong.incrementAndGet();
        }
      }
      rig.note("usual request " + id + " answered " + answer.status());
      return !"close".equalsIgnoreCase(answer.headers().get("connection"));
    } catch (SocketTimeoutException late) {
      unanswered.incrementAndGet();
      rig.note(
          "usual request " + id + " has no final answer " + FINAL_ANSWER_MS + " ms after it was"
              + " sent on an accepted connection, which is still open");
      return false;
    } catch (IOException ended) {
      // The close may have crossed the request on a resting connection.
      closed.incrementAndGet();
      rig.note("usual request " + id + ": " + ended);
      return false;
    }
  }
}
