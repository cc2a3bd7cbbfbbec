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

/** Tests the synthetic queries that warm up the JVM at startup. */
public class WarmupQueriesTest {
  private static final int MAX_BODY_BYTES = 64 * 1024;

  private static Settings settings() {
    return ConfigurationReader.read(Map.of("LB_CONFIG", "deploy/rehearsal.json")).settings();
  }

  private static WarmupQueries warmup(EventLoop loop) {
    return new WarmupQueries(settings(), MAX_BODY_BYTES, loop);
  }

  @Test
  public void answersMostQueries() {
    WarmupQueries warmup = warmup(new EventLoop());
    for (int i = 0; i < 100; i++) {
      warmup.runOne();
    }
    assertEquals(warmup.queriesRun(), 100);
    assertTrue(warmup.queriesAnswered() > 50, "answered " + warmup.queriesAnswered());
  }

  @Test
  public void runsFewQueriesInALargeFleet() throws InterruptedException {
    EventLoop loop = new EventLoop();
    WarmupQueries warmup = warmup(loop);
    CountDownLatch done = new CountDownLatch(1);
    loop.execute(() -> warmup.run(true, done::countDown));
    assertTrue(done.await(30, TimeUnit.SECONDS));
    assertTrue(warmup.queriesRun() <= 20, warmup.queriesRun() + " queries run");
  }

  @Test
  public void continuesInTheBackgroundUntilAllQueriesHaveRun() throws InterruptedException {
    EventLoop loop = new EventLoop();
    WarmupQueries warmup = warmup(loop);
    loop.execute(warmup::continueInBackground);
    CountDownLatch done = new CountDownLatch(1);
    loop.execute(() -> awaitEnd(loop, warmup, done));
    assertTrue(done.await(60, TimeUnit.SECONDS));
    assertEquals(warmup.queriesRun(), 200);
  }

  private static void awaitEnd(EventLoop loop, WarmupQueries warmup, CountDownLatch done) {
    if (warmup.queriesRun() >= 200) {
      done.countDown();
    } else {
      var unused = loop.scheduleCancellable(20, () -> awaitEnd(loop, warmup, done));
    }
  }

  private static Settings settingsWith(int shards, int maxPending) {
    Settings settings = settings();
    Settings.Limits limits = settings.limits();
    return new Settings(
        settings.selfIndex(),
        settings.instances(),
        settings.zone(),
        settings.tick(),
        settings.endpointsOnRequest(),
        settings.classes(),
        settings.tenants(),
        settings.overQuotaWeight(),
        settings.weightByWork(),
        new Settings.Layout(shards, shards, 2, 1),
        new Settings.Limits(
            limits.maxAttempts(),
            maxPending,
            limits.cancellationAllowed(),
            limits.hedgingAllowed(),
            limits.retryAfterAllowed(),
            limits.maxRetryAfter(),
            limits.connectTimeout()),
        settings.rules(),
        settings.costs());
  }

  private static int maxParts(int shards, int maxPending, int maxBodyBytes) {
    return new SyntheticQueries(settingsWith(shards, maxPending), maxBodyBytes).maxParts();
  }

  @Test
  public void limitsTheLargestQueryBySettings() {
    assertEquals(maxParts(3500, 393, MAX_BODY_BYTES), 130);
    assertEquals(maxParts(24, 200, MAX_BODY_BYTES), 24);
    assertEquals(maxParts(3500, Integer.MAX_VALUE, 4096), 63);
  }

  @Test
  public void answersMostQueriesWithManyShards() {
    WarmupQueries warmup =
        new WarmupQueries(settingsWith(3500, 393), MAX_BODY_BYTES, new EventLoop());
    for (int i = 0; i < 30; i++) {
      warmup.runOne();
    }
    assertTrue(warmup.queriesAnswered() > 15, "answered " + warmup.queriesAnswered());
  }

  @Test
  public void endsWhenItsQueriesAreInvalid() throws InterruptedException {
    EventLoop loop = new EventLoop();
    WarmupQueries broken = new WarmupQueries(settingsWith(24, 200), 16, loop);
    CountDownLatch done = new CountDownLatch(1);
    loop.execute(() -> broken.run(true, done::countDown));
    assertTrue(done.await(30, TimeUnit.SECONDS));
    loop.execute(broken::continueInBackground);
  }
}
