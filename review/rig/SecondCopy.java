import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients of the search front search for one donor each. Every slot server answers with a document
 * of the donor that it was asked for; one answer in ten is followed by a second copy of itself,
 * when nothing else waits on the connection. Checked is that each client is answered with documents
 * of its own donor only.
 */
final class SecondCopy {
  private static final int CLIENTS = 6;
  private static final int MEAN_WORK_MS = 20;
  private static final int COPIED_PERCENT = 10;

  /** The second copy is a write of its own, this long after the first. */
  private static final long COPY_DELAY_NANOS = TimeUnit.MICROSECONDS.toNanos(300);

  private static final double DURATION_S = 20;
  private static final int MAX_NOTED = 40;

  private final Rig rig;
  private final boolean trouble;
  private final AtomicInteger lastDonor = new AtomicInteger();
  private final AtomicInteger partsAnswered = new AtomicInteger();
  private final AtomicInteger copies = new AtomicInteger();
  private final AtomicInteger own = new AtomicInteger();
  private final AtomicInteger foreign = new AtomicInteger();
  private final AtomicInteger otherStatus = new AtomicInteger();

  private SecondCopy(Rig rig, boolean trouble) {
    this.rig = rig;
    this.trouble = trouble;
  }

  public static void main(String[] arguments) {
    Rig.main(arguments, (rig, trouble) -> new SecondCopy(rig, trouble).play());
  }

  private int play() throws Exception {
    rig.searchFront = true;
    rig.startSearchServers(this::serve);
    rig.awaitReady(rig.startAggregator());
    double end = rig.seconds() + DURATION_S;
    List<Thread> clients = new ArrayList<>();
    for (int index = 0; index < CLIENTS; index++) {
      clients.add(Rig.daemon(() -> search(end)));
    }
    for (Thread client : clients) {
      client.join();
    }
    rig.note("parts answered by slot servers " + partsAnswered + ", second copies " + copies);
    rig.note(
        "searches answered with the own donor's documents only "
            + own
            + ", with another donor's "
            + foreign
            + ", with another status "
            + otherStatus);
    if (own.get() + foreign.get() == 0) {
      return Rig.COULD_NOT_RUN;
    }
    return foreign.get() > 0 ? Rig.BROKEN : Rig.HELD;
  }

  private String serve(int cell, Rig.Message request, Socket connection) throws Exception {
    String donor = donorIn(request.text());
    TimeUnit.MILLISECONDS.sleep(ThreadLocalRandom.current().nextInt(1, 2 * MEAN_WORK_MS));
    byte[] answer =
        Rig.answer(
            Rig.hits(
                1,
                "{\"_index\":\"slots\",\"_id\":\""
                    + donor
                    + "\",\"_score\":1.0,\"_source\":{\"section\":"
                    + Rig.shardOf(request)
                    + "}}"));
    connection.getOutputStream().write(answer);
    partsAnswered.incrementAndGet();
    if (trouble && ThreadLocalRandom.current().nextInt(100) < COPIED_PERCENT) {
      writeSecondCopy(connection, answer);
    }
    return null;
  }

  /** Writes the answer once more, unless another request has come meanwhile. */
  private void writeSecondCopy(Socket connection, byte[] answer) throws IOException {
    long due = System.nanoTime() + COPY_DELAY_NANOS;
    while (System.nanoTime() < due) {
      Thread.onSpinWait();
    }
    if (connection.getInputStream().available() == 0) {
      connection.getOutputStream().write(answer);
      copies.incrementAndGet();
    }
  }

  private static String donorIn(String text) {
    int from = text.indexOf("\"donor-") + 1;
    return text.substring(from, text.indexOf('"', from));
  }

  /** Sends one search after the other, each for a donor of its own, on a connection kept open. */
  private void search(double end) throws IOException {
    Rig.Client client = null;
    while (rig.seconds() < end) {
      String donor = "donor-" + lastDonor.incrementAndGet();
      try {
        client = client == null ? new Rig.Client(rig.searchListen, 8000) : client;
        Rig.Message answer =
            client.post(
                "/slots/_search",
                "",
                "{\"query\":{\"term\":{\"donor\":\"" + donor + "\"}},\"size\":20}");
        check(donor, answer);
        if ("close".equalsIgnoreCase(answer.headers().get("connection"))) {
          client.close();
          client = null;
        }
      } catch (IOException closed) {
        otherStatus.incrementAndGet();
        rig.note(donor + ": " + closed);
        client = null;
      }
    }
  }

  private void check(String donor, Rig.Message answer) {
    if (answer.status() != 200) {
      otherStatus.incrementAndGet();
      rig.note(donor + " answered " + answer.status());
      return;
    }
    int documents = Rig.count(answer.text(), "\"_id\":\"");
    int ownDocuments = Rig.count(answer.text(), "\"_id\":\"" + donor + "\"");
    if (documents == ownDocuments) {
      own.incrementAndGet();
    } else if (foreign.incrementAndGet() <= MAX_NOTED) {
      rig.note("search for " + donor + " answered with " + answer.text());
    }
  }
}
