package bitternpulley.platform;

import static bitternpulley.platform.DiscoveryAgent.HEAD;
import static bitternpulley.platform.DiscoveryAgent.chunk;
import static bitternpulley.platform.DiscoveryAgent.isClosedByClient;
import static bitternpulley.platform.DiscoveryAgent.list;
import static bitternpulley.platform.DiscoveryAgent.pause;
import static bitternpulley.platform.DiscoveryAgent.write;
import static bitternpulley.platform.DiscoveryAgent.writeInPieces;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import bitternpulley.config.EndpointList;
import bitternpulley.net.EventLoop;
import bitternpulley.net.HostPort;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the discovery client against agents that are slow, crowded, or never answer. */
public class SlowDiscoveryTest {
  private static final EventLoop LOOP = new EventLoop();

  /** Time after which a list counts as received, in ms: in general, and after SIGHUP. */
  private static final double COUNTS_AS_RECEIVED_AFTER_MS = 6000;

  private static final double COUNTS_AS_RECEIVED_AFTER_RELOAD_MS = 4000;

  /** Longest time from the end of all watches to the next one, in ms. */
  private static final double MAX_BACKOFF_MS = 250;

  /** Interval between the blank lines of a watch on which nothing changes, in ms. */
  private static final double HEARTBEAT_MS = 2000;

  /** Longer than any limit at which a watch used to be given up, in ms. */
  private static final double SLOW_MS = 2400;

  /** A client of discovery that starts with revision 41, and the lists that it received. */
  private static final class Client {
    final BlockingQueue<EndpointList> received = new LinkedBlockingQueue<>();
    final Discovery discovery;

    Client(DiscoveryAgent agent) {
      discovery = new Discovery(LOOP, agent.address(), List.of("a"), 41, received::add);
      LOOP.execute(discovery::start);
    }

    void moveTo(HostPort address) {
      LOOP.execute(() -> discovery.moveTo(address));
    }

    /** Checks that the next list has this revision and arrives within this time. */
    void assertReceives(int revision, double withinMs) throws InterruptedException {
      EndpointList next = received.poll((long) withinMs, TimeUnit.MILLISECONDS);
      assertTrue(next != null, "no list within " + withinMs + " ms");
      assertEquals(next.revision(), revision);
    }
  }

  /** The ways of an answer that takes this time; each sends a list of revision 43. */
  private static Map<String, DiscoveryAgent.Answer> slowAnswers(double answerMs) {
    return Map.of(
        "slow head",
        (number, watch) -> {
          pause(answerMs);
          write(watch, HEAD + chunk(list(43)));
        },
        "head in pieces",
        (number, watch) -> {
          writeInPieces(watch, HEAD, answerMs);
          write(watch, chunk(list(43)));
        },
        "slow first line",
        (number, watch) -> {
          write(watch, HEAD);
          pause(answerMs);
          write(watch, chunk(list(43)));
        },
        "list in pieces",
        (number, watch) -> {
          write(watch, HEAD);
          writeInPieces(watch, chunk(list(43)), answerMs);
        });
  }

  /** When discovery is slow. */
  private enum Occasion {
    START(COUNTS_AS_RECEIVED_AFTER_MS),
    RESET(COUNTS_AS_RECEIVED_AFTER_MS),
    SILENCE(COUNTS_AS_RECEIVED_AFTER_MS),
    RELOAD(COUNTS_AS_RECEIVED_AFTER_RELOAD_MS);

    private final double countsAsReceivedAfterMs;

    Occasion(double countsAsReceivedAfterMs) {
      this.countsAsReceivedAfterMs = countsAsReceivedAfterMs;
    }

    /** Discovery's own time counts on top where no client could have its answer in time. */
    double maxMs(double answerMs) {
      return answerMs <= SLOW_MS ? countsAsReceivedAfterMs : countsAsReceivedAfterMs + answerMs;
    }
  }

  @DataProvider
  public Object[][] answerTimes() {
    return new Object[][] {{900.0}, {SLOW_MS}, {5000.0}};
  }

  /** A watch that took longer than a fixed limit was given up and asked for again, without end. */
  @Test(dataProvider = "answerTimes")
  public void receivesTheListOfASlowDiscoveryInTime(double answerMs) throws Exception {
    Map<String, Throwable> failures = new ConcurrentHashMap<>();
    List<Thread> threads = new ArrayList<>();
    for (Occasion occasion : Occasion.values()) {
      slowAnswers(answerMs)
          .forEach(
              (name, answer) ->
                  threads.add(
                      new Thread(
                          () -> {
                            try {
                              assertReceivesSlowList(occasion, answer, occasion.maxMs(answerMs));
                            } catch (Exception | AssertionError failure) {
                              failures.put(name + ", " + occasion, failure);
                            }
                          })));
    }
    threads.forEach(Thread::start);
    for (Thread thread : threads) {
      thread.join();
    }
    assertTrue(failures.isEmpty(), failures.toString());
  }

  private static void assertReceivesSlowList(
      Occasion occasion, DiscoveryAgent.Answer slowAnswer, double maxMs) throws Exception {
    if (occasion == Occasion.START) {
      try (DiscoveryAgent agent = new DiscoveryAgent(slowAnswer)) {
        new Client(agent).assertReceives(43, maxMs);
      }
      return;
    }
    DiscoveryAgent.Answer fastThenSlow =
        (number, watch) -> {
          if (number == 0) {
            write(watch, HEAD + chunk(list(42)));
          } else {
            slowAnswer.send(number, watch);
          }
        };
    try (DiscoveryAgent agent = new DiscoveryAgent(fastThenSlow);
        DiscoveryAgent slowAgent = new DiscoveryAgent(slowAnswer)) {
      Client client = new Client(agent);
      client.assertReceives(42, COUNTS_AS_RECEIVED_AFTER_MS);
      if (occasion == Occasion.RESET) {
        agent.watches.get(0).setSoLinger(true, 0);
        agent.watches.get(0).close();
      } else if (occasion == Occasion.RELOAD) {
        client.moveTo(slowAgent.address());
      }
      client.assertReceives(43, maxMs);
    }
  }

  @DataProvider
  public Object[][] answersOfOneWatch() {
    return new Object[][] {
      {"slow head", 900.0}, {"slow first line", 2000.0}, {"list in pieces", 2000.0}
    };
  }

  /** A slow discovery must not get more requests than when watches were given up. */
  @Test(dataProvider = "answersOfOneWatch")
  public void asksOnceWhereOneWatchUsedToBeAnswered(String form, double answerMs) throws Exception {
    try (DiscoveryAgent agent = new DiscoveryAgent(slowAnswers(answerMs).get(form))) {
      new Client(agent).assertReceives(43, COUNTS_AS_RECEIVED_AFTER_MS);
      assertEquals(agent.watches.size(), 1);
    }
  }

  /** No time limit may be the one that a slow answer has to keep. */
  @Test
  public void receivesTheListOfADiscoveryThatTakesLongerThanAnyInterval() throws Exception {
    double answerMs = COUNTS_AS_RECEIVED_AFTER_MS + 2000;
    DiscoveryAgent.Answer slowHead =
        (number, watch) -> {
          pause(answerMs);
          write(watch, HEAD + chunk(list(43)));
        };
    try (DiscoveryAgent agent = new DiscoveryAgent(slowHead)) {
      new Client(agent).assertReceives(43, answerMs + 1000);
      assertTrue(agent.watches.size() <= 6, agent.watches.size() + " watches");
    }
  }

  /** A watch that is never answered must not keep the next one from being opened. */
  @Test
  public void receivesTheListInTimeAfterASilenceAndTwoLostWatches() throws Exception {
    DiscoveryAgent.Answer answer =
        (number, watch) -> {
          if (number == 0) {
            write(watch, HEAD + chunk(list(42)));
          } else if (number > 2) {
            write(watch, HEAD + chunk(list(43)));
          }
        };
    try (DiscoveryAgent agent = new DiscoveryAgent(answer)) {
      Client client = new Client(agent);
      client.assertReceives(42, COUNTS_AS_RECEIVED_AFTER_MS);
      client.assertReceives(43, COUNTS_AS_RECEIVED_AFTER_MS);
    }
  }

  /** Watches that are given up still cost a crowded discovery their work. */
  @Test
  public void answersOfACrowdedDiscoveryReachAllItsClients() throws Exception {
    int clientCount = 6;
    double workMs = 800;
    Semaphore worker = new Semaphore(1, true);
    DiscoveryAgent.Answer oneAtATime =
        (number, watch) -> {
          worker.acquire();
          pause(workMs);
          worker.release();
          write(watch, HEAD + chunk(list(43)));
          while (!watch.isClosed()) {
            pause(HEARTBEAT_MS);
            write(watch, chunk("\n"));
          }
        };
    try (DiscoveryAgent agent = new DiscoveryAgent(oneAtATime)) {
      List<Client> clients = new ArrayList<>();
      for (int i = 0; i < clientCount; i++) {
        clients.add(new Client(agent));
      }
      for (Client client : clients) {
        client.assertReceives(43, 2 * clientCount * workMs);
      }
      int watchesUntilThen = agent.watches.size();
      assertTrue(watchesUntilThen <= 6 * clientCount, watchesUntilThen + " watches");
      pause(2000);
      assertEquals(agent.watches.size(), watchesUntilThen, "watches after the answers");
    }
  }

  /** A crowded discovery may end the watches that it has no capacity for. */
  @Test
  public void asksNoMoreOftenWhileAnotherWatchIsUnanswered() throws Exception {
    DiscoveryAgent.Answer onlyTheFirst =
        (number, watch) -> {
          if (number > 0) {
            watch.close();
            return;
          }
          pause(2 * SLOW_MS);
          write(watch, HEAD + chunk(list(43)));
        };
    try (DiscoveryAgent agent = new DiscoveryAgent(onlyTheFirst)) {
      new Client(agent).assertReceives(43, COUNTS_AS_RECEIVED_AFTER_MS);
      assertTrue(agent.watches.size() <= 5, agent.watches.size() + " watches");
    }
  }

  /** A restart of discovery ends all watches; the next one must not wait for the interval. */
  @Test
  public void asksAgainSoonOnceAllUnansweredWatchesHaveEnded() throws Exception {
    DiscoveryAgent.Answer third =
        (number, watch) -> {
          if (number > 1) {
            write(watch, HEAD + chunk(list(43)));
          }
        };
    try (DiscoveryAgent agent = new DiscoveryAgent(third)) {
      Client client = new Client(agent);
      awaitWatches(agent, 2);
      agent.watches.get(1).close();
      pause(100);
      agent.watches.get(0).close();
      client.assertReceives(43, MAX_BACKOFF_MS + 200);
    }
  }

  /** A late answer is older than what is known by then. */
  @Test
  public void closesUnansweredWatchesOnceAnotherIsAnswered() throws Exception {
    CountDownLatch late = new CountDownLatch(1);
    DiscoveryAgent.Answer secondFirst =
        (number, watch) -> {
          if (number == 0) {
            late.await();
            write(watch, HEAD + chunk(list(42)));
          } else {
            write(watch, HEAD + chunk(list(43)));
          }
        };
    try (DiscoveryAgent agent = new DiscoveryAgent(secondFirst)) {
      Client client = new Client(agent);
      client.assertReceives(43, COUNTS_AS_RECEIVED_AFTER_MS);
      assertTrue(isClosedByClient(agent.watches.get(0)), "the unanswered watch is closed");
      late.countDown();
      write(agent.watches.get(1), chunk(list(44)));
      client.assertReceives(44, COUNTS_AS_RECEIVED_AFTER_MS);
      assertEquals(agent.watches.size(), 2);
    }
  }

  /** An agent that lags behind must not end the watch that has told more. */
  @Test
  public void readsTheReplacedWatchUntilTheNewOneHasCaughtUp() throws Exception {
    DiscoveryAgent.Answer upToDate = (number, watch) -> write(watch, HEAD + chunk(list(43)));
    DiscoveryAgent.Answer lagging = (number, watch) -> write(watch, HEAD + chunk(list(42)));
    try (DiscoveryAgent first = new DiscoveryAgent(upToDate);
        DiscoveryAgent second = new DiscoveryAgent(lagging)) {
      Client client = new Client(first);
      client.assertReceives(43, COUNTS_AS_RECEIVED_AFTER_MS);
      client.moveTo(second.address());
      awaitWatches(second, 1);
      pause(200);
      write(first.watches.get(0), chunk(list(44)));
      client.assertReceives(44, COUNTS_AS_RECEIVED_AFTER_MS);
      write(second.watches.get(0), chunk(list(45)));
      client.assertReceives(45, COUNTS_AS_RECEIVED_AFTER_MS);
      assertTrue(isClosedByClient(first.watches.get(0)), "the replaced watch is closed");
      assertEquals(second.watches.size(), 1, "a watch that lags is not opened anew");
    }
  }

  @Test
  public void closesUnansweredWatchesOfThePreviousAddress() throws Exception {
    DiscoveryAgent.Answer answered = (number, watch) -> write(watch, HEAD + chunk(list(43)));
    try (DiscoveryAgent previous = new DiscoveryAgent(DiscoveryAgent.none());
        DiscoveryAgent next = new DiscoveryAgent(answered)) {
      Client client = new Client(previous);
      awaitWatches(previous, 2);
      client.moveTo(next.address());
      client.assertReceives(43, COUNTS_AS_RECEIVED_AFTER_RELOAD_MS);
      for (Socket unanswered : previous.watches) {
        assertTrue(isClosedByClient(unanswered), "an unanswered watch is closed");
      }
      pause(2000);
      assertEquals(previous.watches.size(), 2);
    }
  }

  /** Many incomplete lists at the same time would take much of the heap. */
  @Test
  public void boundsTheBytesOfIncompleteLists() throws Exception {
    String begun = chunk("{\"revision\":43,\"members\":[" + " ".repeat(900_000));
    DiscoveryAgent.Answer incomplete = (number, watch) -> write(watch, HEAD + begun);
    try (DiscoveryAgent agent = new DiscoveryAgent(incomplete)) {
      Client client = new Client(agent);
      awaitWatches(agent, 2);
      assertTrue(isClosedByClient(agent.watches.get(1)), "the second one is closed");
      write(agent.watches.get(0), chunk("],\"complete\":true}\n"));
      client.assertReceives(43, COUNTS_AS_RECEIVED_AFTER_MS);
      assertFalse(agent.watches.get(0).isClosed());
    }
  }

  private static void awaitWatches(DiscoveryAgent agent, int count)
      throws IOException, InterruptedException {
    double waitedMs = 0;
    while (agent.watches.size() < count) {
      pause(10);
      waitedMs += 10;
      assertTrue(waitedMs < 10_000, agent.watches.size() + " watches");
    }
  }
}
