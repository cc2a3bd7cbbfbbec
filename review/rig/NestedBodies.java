import java.io.EOFException;
import java.io.IOException;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Usual clients send platform queries while other clients send bodies that are no query: JSON
 * nested 990 levels deep, 6 KB. Checked is that the requests of the usual clients get their final
 * answer.
 */
final class NestedBodies {
  /** Within the 256 to 1,024 that the pages state for an aggregator. */
  private static final int SOCKETS = 256;

  private static final int BAD_CLIENTS = 160;
  private static final int BAD_CLIENT_INTERVAL_MS = 40;
  private static final int LEVELS = Integer.getInteger("levels", 990);
  private static final int OWED_WITHIN_MS = 3000;
  private static final int DURATION_S = 20;

  private final Rig rig;
  private final AtomicInteger badAnswered = new AtomicInteger();
  private final AtomicInteger badUnanswered = new AtomicInteger();

  private NestedBodies(Rig rig) {
    this.rig = rig;
  }

  public static void main(String[] arguments) {
    Rig.main(arguments, (rig, trouble) -> new NestedBodies(rig).play(trouble));
  }

  private int play(boolean trouble) throws Exception {
    rig.sockets = SOCKETS;
    rig.startFrameServers(20);
    rig.awaitReady(rig.startAggregator());
    UsualClients usual = new UsualClients(rig, DURATION_S);
    for (int index = 0; trouble && index < BAD_CLIENTS; index++) {
      int number = index;
      TimeUnit.MILLISECONDS.sleep(BAD_CLIENT_INTERVAL_MS);
      Rig.daemon(() -> sendBadRequest(number));
    }
    usual.await();
    rig.note(
        "bad clients: in 3 s answered or closed " + badAnswered + ", neither " + badUnanswered);
    if (usual.answered.get() == 0) {
      return Rig.COULD_NOT_RUN;
    }
    return usual.unanswered.get() > 0 || usual.wrong.get() > 0 ? Rig.BROKEN : Rig.HELD;
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
        TimeUnit.SECONDS.sleep(DURATION_S);
      } catch (EOFException | SocketException closed) {
        badAnswered.incrementAndGet();
        rig.note("bad client " + number + " was closed");
      }
    }
  }
}
