package bitternpulley.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import bitternpulley.emulator.Fleet;
import bitternpulley.faultinjection.Node;
import bitternpulley.faultinjection.Ports;
import bitternpulley.net.EventLoop;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Three processes of the program that use the same servers, one of them paused for a while. */
public class SeveralProcessesTest {
  private static final int NODES = 3;
  private static final int CELLS = 6;

  /** Tolerance that the protocol adds to each time limit. */
  private static final double TOLERANCE_MS = 50;

  private final List<Node> nodes = new ArrayList<>();
  private Fleet fleet;

  @BeforeClass
  public void start() throws Exception {
    fleet = new Fleet(new EventLoop(), CELLS, 2);
    for (int i = 0; i < NODES; i++) {
      nodes.add(
          new Node(
                  "n" + i,
                  fleet.configuration(i, NODES, "127.0.0.1:" + Ports.reservePort(), 200),
                  null)
              .start());
    }
    for (Node node : nodes) {
      node.awaitReady();
    }
  }

  @AfterClass(alwaysRun = true)
  public void stop() throws IOException {
    for (Node node : nodes) {
      node.close();
    }
    assertEquals(fleet.ruleCheck().firstViolations(), List.of());
  }

  private record Answer(TestClient.Reply reply, double elapsedMs) {}

  /** Sends one query to each process. One process is paused just before, and resumes later. */
  private List<Answer> queryAll(String idPrefix, double timeoutSeconds, long pauseMs, int... shards)
      throws Exception {
    List<Socket> sockets = new ArrayList<>();
    for (Node node : nodes) {
      sockets.add(TestClient.connect(node.queryAddress().toString()));
    }
    List<byte[]> queries = new ArrayList<>();
    for (int i = 0; i < NODES; i++) {
      queries.add(
          TestClient.queryRequest("slot-search", idPrefix + i, timeoutSeconds, shards)
              .getBytes(StandardCharsets.UTF_8));
    }
    nodes.get(1).pause();
    long[] sentAt = new long[NODES];
    for (int i = 0; i < NODES; i++) {
      sentAt[i] = System.nanoTime();
      sockets.get(i).getOutputStream().write(queries.get(i));
    }
    Thread resumer = resumeAfter(pauseMs);
    List<Answer> answers = readAnswers(sockets, sentAt);
    resumer.join();
    return answers;
  }

  private Thread resumeAfter(long pauseMs) {
    Thread resumer =
        new Thread(
            () -> {
              try {
                TimeUnit.MILLISECONDS.sleep(pauseMs);
                nodes.get(1).resume();
              } catch (InterruptedException | IOException e) {
                throw new IllegalStateException(e);
              }
            });
    resumer.start();
    return resumer;
  }

  /** Reads all answers in parallel, so that the time of each is independent of the others. */
  private static List<Answer> readAnswers(List<Socket> sockets, long[] sentAt)
      throws InterruptedException {
    List<Thread> readers = new ArrayList<>();
    Answer[] answers = new Answer[NODES];
    for (int i = 0; i < NODES; i++) {
      int index = i;
      Thread reader =
          new Thread(
              () -> {
                try (Socket socket = sockets.get(index)) {
                  answers[index] =
                      new Answer(
                          TestClient.readReply(socket), (System.nanoTime() - sentAt[index]) / 1e6);
                } catch (IOException e) {
                  throw new IllegalStateException(e);
                }
              });
      reader.start();
      readers.add(reader);
    }
    for (Thread reader : readers) {
      reader.join();
    }
    return List.of(answers);
  }

  /** Guards against a timeout that counts from when the query is read, which a pause delays. */
  @Test
  public void answersQueryReadLateWithinClientTimeout() throws Exception {
    fleet.servers().get(2).setUnresponsive(true);
    fleet.servers().get(3).setUnresponsive(true);
    List<Answer> answers = queryAll("unread", 0.45, 300, 2);
    fleet.servers().get(2).setUnresponsive(false);
    fleet.servers().get(3).setUnresponsive(false);
    for (Answer answer : answers) {
      assertTrue(
          answer.reply().status() != 200 && answer.elapsedMs() <= 450 + TOLERANCE_MS,
          answer.toString());
    }
  }

  /** Guards against clients that wait for their whole timeout when no server can take a part. */
  @Test(dependsOnMethods = "answersQueryReadLateWithinClientTimeout")
  public void rejectsQueryWithoutUsableServerAtOnce() throws Exception {
    fleet.publishPhase(fleet.servers().get(0), "draining");
    fleet.publishPhase(fleet.servers().get(1), "draining");
    for (int i = 0; i < NODES; i++) {
      String id = "told" + i + "-";
      Node node = nodes.get(i);
      // The processes learn of the drains at different times, and serve queries until then.
      int[] attempts = {0};
      Deployment.await(
          "n" + i + " to learn of the drains",
          () -> {
            try {
              return TestClient.exchange(
                          node.queryAddress().toString(),
                          TestClient.queryRequest("slot-search", id + attempts[0]++, 1.2, 0),
                          "")
                      .status()
                  == 429;
            } catch (IOException e) {
              throw new IllegalStateException(e);
            }
          });
    }
    for (Answer answer : queryAll("nobody", 1.2, 150, 0, 2)) {
      assertEquals(answer.reply().status(), 429, answer.toString());
      assertTrue(
          Double.parseDouble(answer.reply().headers().get("retry-after")) > 0, answer.toString());
      assertTrue(answer.elapsedMs() <= 350, answer.toString());
    }
    for (Answer answer : queryAll("others", 1.2, 150, 2, 3)) {
      assertEquals(answer.reply().status(), 200, answer.toString());
    }
  }
}
