package bitternpulley.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import bitternpulley.emulator.Fleet;
import bitternpulley.faultinjection.Node;
import bitternpulley.faultinjection.Ports;
import bitternpulley.net.EventLoop;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Three processes of the program over one fleet of servers, one of them stopped for a while. */
public class SeveralProcessesTest {
  private static final int NODES = 3;
  private static final int CELLS = 6;

  /** Ms that the protocol adds to each time limit. */
  private static final double SLACK = 50;

  private final List<Node> nodes = new ArrayList<>();
  private Fleet fleet;

  @BeforeClass
  public void start() throws Exception {
    fleet = new Fleet(new EventLoop(), CELLS, 2);
    for (int i = 0; i < NODES; i++) {
      nodes.add(
          new Node("n" + i, fleet.configuration(i, NODES, "127.0.0.1:" + Ports.free(), 200), null)
              .start());
    }
    for (Node n : nodes) {
      n.awaitReady();
    }
  }

  @AfterClass(alwaysRun = true)
  public void stop() throws IOException {
    for (Node n : nodes) {
      n.close();
    }
    assertEquals(fleet.rules().breaches(), List.of());
  }

  private record Ended(Deployment.Reply reply, double ms) {}

  /** A query to each, of which one is stopped just before and goes on after so many ms. */
  private List<Ended> askAll(String name, double seconds, long stoppedMs, int... sections)
      throws Exception {
    List<Socket> sockets = new ArrayList<>();
    for (Node n : nodes) {
      sockets.add(Deployment.connect(n.front().toString()));
    }
    List<byte[]> queries = new ArrayList<>();
    for (int i = 0; i < NODES; i++) {
      queries.add(Deployment.query("slot-search", name + i, seconds, sections).getBytes());
    }
    nodes.get(1).pause();
    long[] sentAt = new long[NODES];
    for (int i = 0; i < NODES; i++) {
      sentAt[i] = System.nanoTime();
      sockets.get(i).getOutputStream().write(queries.get(i));
    }
    List<Ended> ended = new ArrayList<>();
    Thread wakes =
        new Thread(
            () -> {
              try {
                TimeUnit.MILLISECONDS.sleep(stoppedMs);
                nodes.get(1).resume();
              } catch (InterruptedException | IOException e) {
                throw new IllegalStateException(e);
              }
            });
    wakes.start();
    List<Thread> readers = new ArrayList<>();
    Ended[] found = new Ended[NODES];
    for (int i = 0; i < NODES; i++) {
      int n = i;
      Thread reader =
          new Thread(
              () -> {
                try (Socket s = sockets.get(n)) {
                  found[n] = new Ended(Deployment.reply(s), (System.nanoTime() - sentAt[n]) / 1e6);
                } catch (IOException e) {
                  throw new IllegalStateException(e);
                }
              });
      reader.start();
      readers.add(reader);
    }
    wakes.join();
    for (Thread r : readers) {
      r.join();
    }
    ended.addAll(List.of(found));
    return ended;
  }

  /**
   * Guards against answers reckoned from the read: the query lay unread while the process was
   * stopped.
   */
  @Test
  public void whatLayUnreadIsAnsweredInItsClientsTime() throws Exception {
    fleet.servers().get(2).silent(true);
    fleet.servers().get(3).silent(true);
    List<Ended> ended = askAll("unread", 0.45, 300, 2);
    fleet.servers().get(2).silent(false);
    fleet.servers().get(3).silent(false);
    for (Ended e : ended) {
      assertTrue(e.reply().status() != 200 && e.ms() <= 450 + SLACK, e.toString());
    }
  }

  /** Guards against silence until the client's end where no server can take a part. */
  @Test(dependsOnMethods = "whatLayUnreadIsAnsweredInItsClientsTime")
  public void aQueryThatNobodyHoldsIsRefusedAtOnce() throws Exception {
    fleet.tell(fleet.servers().get(0), "draining");
    fleet.tell(fleet.servers().get(1), "draining");
    for (int i = 0; i < NODES; i++) {
      String id = "told" + i + "-";
      Node n = nodes.get(i);
      // Each hears of it in its own time; what it has sent before is served.
      int[] tries = {0};
      Deployment.await(
          "n" + i + " hears of the drains",
          () -> {
            try {
              return Deployment.call(
                          n.front().toString(),
                          Deployment.query("slot-search", id + tries[0]++, 1.2, 0),
                          "")
                      .status()
                  == 429;
            } catch (IOException e) {
              throw new IllegalStateException(e);
            }
          });
    }
    for (Ended e : askAll("nobody", 1.2, 150, 0, 2)) {
      assertEquals(e.reply().status(), 429, e.toString());
      assertTrue(Double.parseDouble(e.reply().headers().get("retry-after")) > 0, e.toString());
      assertTrue(e.ms() <= 350, e.toString());
    }
    for (Ended e : askAll("others", 1.2, 150, 2, 3)) {
      assertEquals(e.reply().status(), 200, e.toString());
    }
  }
}
