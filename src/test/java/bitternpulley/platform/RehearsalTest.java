package bitternpulley.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import bitternpulley.config.ConfigurationReader;
import bitternpulley.net.EventLoop;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Guards against a rehearsal that goes no further than the door, and so leaves the code behind it cold. */
public class RehearsalTest {
  @Test
  public void mostMadeUpQueriesRunToTheirAnswer() {
    Map<String, String> told = Map.of("LB_CONFIG", "deploy/rehearsal.json");
    Rehearsal rehearsal = new Rehearsal(ConfigurationReader.read(told).settings(), new EventLoop());
    for (int i = 0; i < 100; i++) {
      rehearsal.playOne();
    }
    assertEquals(rehearsal.played(), 100);
    assertTrue(rehearsal.answered() > 50, "answered " + rehearsal.answered());
  }

  /** Guards against starts of very many aggregators that rehearse at length for the little traffic that each has. */
  @Test
  public void whereAggregatorsAreManyItIsShort() throws InterruptedException {
    EventLoop loop = new EventLoop();
    Map<String, String> told = Map.of("LB_CONFIG", "deploy/rehearsal.json");
    Rehearsal rehearsal = new Rehearsal(ConfigurationReader.read(told).settings(), loop);
    CountDownLatch done = new CountDownLatch(1);
    loop.execute(() -> rehearsal.play(true, done::countDown));
    assertTrue(done.await(30, TimeUnit.SECONDS));
    assertTrue(rehearsal.played() <= 20, rehearsal.played() + " played");
  }

  /** Guards against code that stays cold for minutes where an aggregator sees a query now and then. */
  @Test
  public void itGoesOnInSmallTurnsAndEnds() throws InterruptedException {
    EventLoop loop = new EventLoop();
    Rehearsal rehearsal =
        new Rehearsal(ConfigurationReader.read(Map.of("LB_CONFIG", "deploy/rehearsal.json")).settings(), loop);
    loop.execute(rehearsal::goOn);
    CountDownLatch over = new CountDownLatch(1);
    loop.execute(() -> watch(loop, rehearsal, over));
    assertTrue(over.await(60, TimeUnit.SECONDS));
    assertEquals(rehearsal.played(), 200);
  }

  private static void watch(EventLoop loop, Rehearsal rehearsal, CountDownLatch over) {
    if (rehearsal.played() >= 200) {
      over.countDown();
    } else {
      loop.after(20, () -> watch(loop, rehearsal, over));
    }
  }
}
