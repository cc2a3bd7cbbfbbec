package bitternpulley.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import bitternpulley.config.ConfigurationReader;
import bitternpulley.net.EventLoop;
import bitternpulley.routing.Settings;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/**
 * Guards against a rehearsal that goes no further than the door, and so leaves the code behind it
 * cold.
 */
public class RehearsalTest {
  private static final int BODY = 64 * 1024;

  @Test
  public void mostMadeUpQueriesRunToTheirAnswer() {
    Map<String, String> told = Map.of("LB_CONFIG", "deploy/rehearsal.json");
    Rehearsal rehearsal =
        new Rehearsal(ConfigurationReader.read(told).settings(), BODY, new EventLoop());
    for (int i = 0; i < 100; i++) {
      rehearsal.playOne();
    }
    assertEquals(rehearsal.played(), 100);
    assertTrue(rehearsal.answered() > 50, "answered " + rehearsal.answered());
  }

  /**
   * Guards against starts of very many aggregators that rehearse at length for the little traffic
   * that each has.
   */
  @Test
  public void whereAggregatorsAreManyItIsShort() throws InterruptedException {
    EventLoop loop = new EventLoop();
    Map<String, String> told = Map.of("LB_CONFIG", "deploy/rehearsal.json");
    Rehearsal rehearsal = new Rehearsal(ConfigurationReader.read(told).settings(), BODY, loop);
    CountDownLatch done = new CountDownLatch(1);
    loop.execute(() -> rehearsal.play(true, done::countDown));
    assertTrue(done.await(30, TimeUnit.SECONDS));
    assertTrue(rehearsal.played() <= 20, rehearsal.played() + " played");
  }

  /**
   * Guards against code that stays cold for minutes where an aggregator sees a query now and then.
   */
  @Test
  public void itGoesOnInSmallTurnsAndEnds() throws InterruptedException {
    EventLoop loop = new EventLoop();
    Rehearsal rehearsal =
        new Rehearsal(
            ConfigurationReader.read(Map.of("LB_CONFIG", "deploy/rehearsal.json")).settings(),
            BODY,
            loop);
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

  private static Settings withLayout(int sections, int maxOpen) {
    Settings s = ConfigurationReader.read(Map.of("LB_CONFIG", "deploy/rehearsal.json")).settings();
    Settings.Limits l = s.limits();
    return new Settings(
        s.self(),
        s.instances(),
        s.zone(),
        s.tick(),
        s.endpointsOnRequest(),
        s.classes(),
        s.tenants(),
        s.overQuotaWeight(),
        s.weightByWork(),
        new Settings.Layout(sections, sections, 2, 1),
        new Settings.Limits(
            l.maxAttempts(),
            maxOpen,
            l.cancellationAllowed(),
            l.hedgingAllowed(),
            l.retryAfterAllowed(),
            l.maxRetryAfter(),
            l.connectTimeout()),
        s.rules(),
        s.costs());
  }

  /** Guards against a rehearsal that is refused at the door, or breaks, where sections are many. */
  @Test
  public void theLongestQueryFollowsFromTheSettings() {
    Rehearsal many = new Rehearsal(withLayout(3500, 393), BODY, new EventLoop());
    assertEquals(many.widest(), 130);
    for (int i = 0; i < 30; i++) {
      many.playOne();
    }
    assertTrue(many.answered() > 15, "answered " + many.answered());
    assertEquals(new Rehearsal(withLayout(24, 200), BODY, new EventLoop()).widest(), 24);
    assertEquals(
        new Rehearsal(withLayout(3500, Integer.MAX_VALUE), 4096, new EventLoop()).widest(), 63);
  }

  /**
   * Guards against an aggregator that never becomes ready since its made-up queries cannot be read.
   */
  @Test
  public void aRehearsalThatBreaksStillEnds() throws InterruptedException {
    EventLoop loop = new EventLoop();
    Rehearsal broken = new Rehearsal(withLayout(24, 200), 16, loop);
    CountDownLatch done = new CountDownLatch(1);
    loop.execute(() -> broken.play(true, done::countDown));
    assertTrue(done.await(30, TimeUnit.SECONDS));
    loop.execute(broken::goOn);
  }
}
