import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Usual clients send platform queries while others connect by the hundred and send a head that does
 * not end: header after header, just under the 16 KiB that the aggregator allows a head, then
 * nothing more. Checked is that the aggregator goes on running.
 */
final class EndlessHeads {
  private static final int HUNDREDS = 4;
  private static final int HUNDRED = 100;
  private static final int BETWEEN_HUNDREDS_MS = 100;
  private static final int FIRST_AFTER_MS = 2000;
  private static final int HEAD_BYTES = 16_000;
  private static final int OWED_WITHIN_MS = 3000;
  private static final int DURATION_S = 20;

  /** The headers are "0:1", "1:1" to "9:1", "a:1" and so on; otherwise one header that is as long. */
  private static final boolean MANY_HEADERS = !Boolean.getBoolean("one");

  private final Rig rig;
  private final AtomicInteger badAnswered = new AtomicInteger();
  private final AtomicInteger badUnanswered = new AtomicInteger();

  private EndlessHeads(Rig rig) {
    this.rig = rig;
  }

  public static void main(String[] arguments) {
    Rig.main(arguments, (rig, trouble) -> new EndlessHeads(rig).play(trouble));
  }

  private int play(boolean trouble) throws Exception {
    rig.startFrameServers(20);
    Process aggregator = rig.startAggregator();
    rig.awaitReady(aggregator);
    UsualClients usual = new UsualClients(rig, DURATION_S);
    TimeUnit.MILLISECONDS.sleep(FIRST_AFTER_MS);
    byte[] head = head();
    for (int hundred = 0; trouble && hundred < HUNDREDS; hundred++) {
      rig.note("a hundred bad clients connect and send " + head.length + " bytes each");
      for (int index = 0; index < HUNDRED; index++) {
        Rig.daemon(() -> sendHead(head));
      }
      TimeUnit.MILLISECONDS.sleep(BETWEEN_HUNDREDS_MS);
    }
    usual.await();
    rig.note(
        "bad clients: in 3 s answered or closed " + badAnswered + ", neither " + badUnanswered);
    if (!aggregator.isAlive()) {
      rig.note("the aggregator has ended by itself, status " + aggregator.exitValue());
      return Rig.BROKEN;
    }
    if (usual.answered.get() == 0) {
      return Rig.COULD_NOT_RUN;
    }
    return usual.unanswered.get() > 0 || usual.wrong.get() > 0 ? Rig.BROKEN : Rig.HELD;
  }

  private static byte[] head() {
    StringBuilder head = new StringBuilder("POST /slot-search HTTP/1.1\r\nHost: backend.local\r\n");
    if (!MANY_HEADERS) {
      head.append("x: ");
    }
    for (int number = 0; head.length() < HEAD_BYTES; number++) {
      head.append(MANY_HEADERS ? Integer.toString(number, 36) + ":1\r\n" : "y");
    }
    return head.toString().getBytes(StandardCharsets.US_ASCII);
  }

  /** Sends the head, and reads until it is answered or closed. */
  private void sendHead(byte[] head) {
    try (Socket socket = Rig.connect(rig.listen, OWED_WITHIN_MS)) {
      socket.getOutputStream().write(head);
      try {
        socket.getInputStream().read();
        badAnswered.incrementAndGet();
      } catch (SocketTimeoutException neither) {
        badUnanswered.incrementAndGet();
        socket.setSoTimeout(1000 * DURATION_S);
        socket.getInputStream().read();
      }
    } catch (IOException closed) {
      badAnswered.incrementAndGet();
    }
  }
}
