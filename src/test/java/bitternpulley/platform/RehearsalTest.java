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
}
