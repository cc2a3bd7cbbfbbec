import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many clients stop in the middle of a request and stay, up to the descriptors of the aggregator.
 * Sound clients send queries meanwhile and afterwards, and three further clients that stop in the
 * middle of a request wait for what they are owed within 3 s.
 */
final class StalledClients {
  private static final int AT_MOST = 1000;

  /** The most that come in a tick, as long as there is room: they come in a burst. */
  private static final int A_TICK = 250;

  private static final int TICK_MS = 50;

  /** The queries of sound clients meanwhile, two in a second. */
  private static final int QUERIES = 30;

  /** 3 s, and a margin. */
  private static final int OWED_MS = 3500;

  private static final byte[] HALF_A_HEAD =
      "POST /slot-search HTTP/1.1\r\nHost: backend.local\r\n".getBytes(StandardCharsets.US_ASCII);

  private StalledClients() {}

  public static void main(String[] arguments) {
    Rig.main(arguments, StalledClients::run);
  }

  private static int run(Rig rig, boolean trouble) throws Exception {
    rig.startFrameServers(50);
    rig.awaitReady(rig.startAggregator());
    Queries before = new Queries(rig);
    send(before, 6);
    before.join();
    rig.note("before: " + before);
    Crowd crowd = new Crowd(rig);
    if (trouble) {
      crowd.start();
    }
    Queries during = new Queries(rig);
    send(during, QUERIES);
    crowd.stop();
    during.join();
    rig.note("meanwhile: " + during);
    TimeUnit.SECONDS.sleep(2);
    int unended = probe(rig);
    Queries after = new Queries(rig);
    send(after, 6);
    after.join();
    rig.note("after they left: " + after);
    rig.note("of 3 further clients that stop and stay, not ended: " + unended);
    boolean held = before.lost() + during.lost() + after.lost() + unended == 0;
    return held ? Rig.HELD : Rig.BROKEN;
  }

  /**
   * Clients that stop in the middle of a request and stay until they get an error or a close. As
   * one of them ends, another comes; there are never more than the aggregator has descriptors.
   */
  private static final class Crowd {
    private final Rig rig;
    private final Semaphore places = new Semaphore(AT_MOST);
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final AtomicInteger came = new AtomicInteger();
    private final AtomicInteger ended = new AtomicInteger();
    private volatile boolean stopped;

    Crowd(Rig rig) {
      this.rig = rig;
    }

    void start() {
      Rig.daemon(
          () -> {
            while (!stopped) {
              for (int client = 0; client < A_TICK && places.tryAcquire(); client++) {
                Thread thread = new Thread(null, this::stall, "stalled", 64 * 1024);
                thread.setDaemon(true);
                thread.start();
              }
              TimeUnit.MILLISECONDS.sleep(TICK_MS);
            }
          });
    }

    private void stall() {
      try (Socket socket = Rig.connect(rig.listen, 60_000)) {
        sockets.add(socket);
        if (stopped) {
          return;
        }
        came.incrementAndGet();
        socket.getOutputStream().write(HALF_A_HEAD);
        while (socket.getInputStream().read() >= 0) {
          // It reads to the end of the error.
        }
        ended.incrementAndGet();
      } catch (IOException closed) {
        ended.incrementAndGet();
      } finally {
        places.release();
      }
    }

    void stop() throws IOException {
      stopped = true;
      rig.note(came + " clients have stopped in the middle of a request; ended so far: " + ended);
      for (Socket socket : sockets) {
        socket.close();
      }
      rig.note("the others have left");
    }
  }

  private static void send(Queries queries, int count) throws InterruptedException {
    for (int number = 0; number < count; number++) {
      queries.send();
      TimeUnit.MILLISECONDS.sleep(500);
    }
  }

  /** Counts the clients, of three, that get neither an error nor a close in the time owed. */
  private static int probe(Rig rig) throws IOException, InterruptedException {
    int[] unended = new int[1];
    List<Thread> threads = new ArrayList<>();
    for (int client = 1; client <= 3; client++) {
      String name = "stalled client " + client;
      threads.add(
          Rig.daemon(
              () -> {
                try (Socket socket = Rig.connect(rig.listen, OWED_MS)) {
                  long start = System.nanoTime();
                  socket.getOutputStream().write(HALF_A_HEAD);
                  int first = socket.getInputStream().read();
                  rig.note(
                      name
                          + (first < 0 ? ": close" : ": error")
                          + " after "
                          + (System.nanoTime() - start) / 1_000_000
                          + " ms");
                } catch (SocketTimeoutException silence) {
                  rig.note(name + ": NEITHER ERROR NOR CLOSE within " + OWED_MS + " ms");
                  synchronized (unended) {
                    unended[0]++;
                  }
                }
              }));
    }
    for (Thread thread : threads) {
      thread.join();
    }
    return unended[0];
  }
}
