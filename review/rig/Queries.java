import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

/**
 * Platform queries of sound clients, one on each connection, and how they ended. A client waits for
 * its time and the half second up to which an answer only earns nothing.
 */
final class Queries {
  private static final int TIME_MS = 3000;
  private static final int GRACE_MS = 500;

  /** For the way of the answer and for this process; no query is called lost before. */
  private static final int MARGIN_MS = 200;

  private final Rig rig;
  private final List<Thread> threads = new ArrayList<>();
  private int sent;
  private int answered;
  private int shutUnread;
  private int lost;

  Queries(Rig rig) {
    this.rig = rig;
  }

  /** Sends a query on a connection of its own and waits for its end on a thread of its own. */
  synchronized void send() {
    int number = ++sent;
    threads.add(Rig.daemon(() -> run(number)));
  }

  private void run(int number) throws IOException {
    String id = "q" + number;
    long start = System.nanoTime();
    String end;
    try (Rig.Client client = new Rig.Client(rig.listen, TIME_MS + GRACE_MS + MARGIN_MS)) {
      start = System.nanoTime();
      Rig.Message answer =
          client.post(
              "/slot-search",
              "Request-Id: " + id + "\r\nRequest-Timeout: 3.000\r\n",
              Rig.query(number % Rig.SHARDS, (number + 1) % Rig.SHARDS));
      end = "answered with " + answer.status();
      count(true, false);
    } catch (SocketTimeoutException silence) {
      end = "NEVER ANSWERED in its time, and its connection is open";
      count(false, true);
    } catch (IOException closed) {
      end = "connection shut or refused: " + closed.getMessage();
      count(false, false);
    }
    rig.note(id + ": " + end + ", after " + (System.nanoTime() - start) / 1_000_000 + " ms");
  }

  private synchronized void count(boolean isAnswered, boolean isLost) {
    answered += isAnswered ? 1 : 0;
    lost += isLost ? 1 : 0;
    shutUnread += !isAnswered && !isLost ? 1 : 0;
  }

  /** Waits for the ends of all queries sent so far. */
  void join() throws InterruptedException {
    List<Thread> started;
    synchronized (this) {
      started = List.copyOf(threads);
    }
    for (Thread thread : started) {
      thread.join();
    }
  }

  synchronized int lost() {
    return lost;
  }

  @Override
  public synchronized String toString() {
    return sent
        + " queries: "
        + answered
        + " answered, "
        + shutUnread
        + " shut or refused, "
        + lost
        + " never answered";
  }
}
