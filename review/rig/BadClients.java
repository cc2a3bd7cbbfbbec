import java.io.EOFException;
import java.io.IOException;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Usual clients send platform queries while other clients send bodies that are no query: JSON
 * nested 990 levels deep, 6 KB. Checked is that the requests of the usual clients get their final
 * answer.
 */
final class BadClients {
  /** Within the 256 to 1,024 that the pages state for an aggregator. */
  private static final int SOCKETS = 256;

  private static final int BAD_CLIENTS = 160;
  private static final int BAD_CLIENT_INTERVAL_MS = 40;
  private static final int LEVELS = Integer.getInteger("levels", 990);
  private static final int OWED_WITHIN_MS = 3000;
  private static final int USUAL_CLIENTS = 6;
  private static final int USUAL_INTERVAL_MS = 500;
  private static final int REQUESTS_PER_CONNECTION = 5;
  private static final double TIMEOUT_S = 2;

  /** Up to half a second after its time a request only earns nothing. */
  private static final int FINAL_ANSWER_MS = 2500;

  private static final double DURATION_S = 20;

  private final Rig rig;
  private final double end;
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger wrong = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();
  private final AtomicInteger closedUnanswered = new AtomicInteger();
  private final AtomicInteger badAnswered = new AtomicInteger();
  private final AtomicInteger badUnanswered = new AtomicInteger();
  private final AtomicInteger lastId = new AtomicInteger();

  private BadClients(Rig rig) {
    this.rig = rig;
    this.end = rig.seconds() + DURATION_S;
  }

  public static void main(String[] arguments) {
    Rig.main(arguments, BadClients::run);
  }

  private static int run(Rig rig, boolean trouble) throws Exception {
    rig.sockets = SOCKETS;
    rig.startFrameServers(20);
    Process aggregator = rig.startAggregator();
    rig.awaitReady(aggregator);
    return new BadClients(rig).play(trouble);
  }

  private int play(boolean trouble) throws InterruptedException {
    List<Thread> clients = new ArrayList<>();
    for (int index = 0; index < USUAL_CLIENTS; index++) {
      clients.add(Rig.daemon(this::sendUsualRequests));
    }
    for (int index = 0; trouble && index < BAD_CLIENTS; index++) {
      int number = index;
      TimeUnit.MILLISECONDS.sleep(BAD_CLIENT_INTERVAL_MS);
      Rig.daemon(() -> sendBadRequest(number));
    }
    for (Thread client : clients) {
      client.join();
    }
    rig.note(
        "bad clients: in 3 s answered or closed " + badAnswered + ", neither " + badUnanswered);
    rig.note(
        "usual requests: answered "
            + answered
            + ", answered wrongly "
            + wrong
            + ", without a final answer "
            + lost
            + ", connection closed without an answer "
            + closedUnanswered
            + "; parts run "
            + rig.framePartsServed);
    if (answered.get() == 0 && !trouble) {
      return Rig.COULD_NOT_RUN;
    }
    return lost.get() > 0 || wrong.get() > 0 ? Rig.BROKEN : Rig.HELD;
  }

  /** Sends a body that is no query, and reads until it is answered or closed. */
  private void sendBadRequest(int number) throws IOException, InterruptedException {
    String body =
        "{\"slices\":"
            + "{\"a\":".repeat(LEVELS)
            + "1"
            + "}".repeat(LEVELS)
            + ",\"filter\":\"c41e77d0\"}";
    try (Rig.Client client = new Rig.Client(rig.listen, OWED_WITHIN_MS)) {
      try {
        Rig.Message answer =
            client.post("/slot-search", "Request-Id: bad" + number + "\r\n", body);
        badAnswered.incrementAndGet();
        rig.note("bad client " + number + " answered " + answer.status());
      } catch (SocketTimeoutException neither) {
        badUnanswered.incrementAndGet();
        rig.note("bad client " + number + " got neither an answer nor a close in 3 s");
        TimeUnit.SECONDS.sleep((long) DURATION_S);
      } catch (EOFException | SocketException closed) {
        badAnswered.incrementAndGet();
        rig.note("bad client " + number + " was closed");
      }
    }
  }

  /** Sends one query after the other, on a new connection now and then. */
  private void sendUsualRequests() throws InterruptedException {
    while (rig.seconds() < end) {
      try (Rig.Client client = new Rig.Client(rig.listen, FINAL_ANSWER_MS)) {
        for (int count = 0; count < REQUESTS_PER_CONNECTION && rig.seconds() < end; count++) {
          if (!sendUsualRequest(client)) {
            break;
          }
          TimeUnit.MILLISECONDS.sleep(USUAL_INTERVAL_MS);
        }
      } catch (IOException refused) {
        rig.note("a usual client could not connect: " + refused);
        TimeUnit.MILLISECONDS.sleep(USUAL_INTERVAL_MS);
      }
    }
  }

  /** Sends a query; returns whether the connection stays open. */
  private boolean sendUsualRequest(Rig.Client client) {
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
    } catch (SocketTimeoutException unanswered) {
      lost.incrementAndGet();
      rig.note(
          "usual request " + id + " has no final answer " + FINAL_ANSWER_MS + " ms after it was"
              + " sent on an accepted connection, which is still open");
      return false;
    } catch (IOException closed) {
      // The close may have crossed the request on a resting connection; it is sent once more.
      closedUnanswered.incrementAndGet();
      rig.note("usual request " + id + ": " + closed);
      return false;
    }
  }
}
