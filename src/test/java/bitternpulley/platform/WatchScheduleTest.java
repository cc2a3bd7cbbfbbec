package bitternpulley.platform;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests in virtual time when watches are opened and how long they may stay unanswered. */
public class WatchScheduleTest {
  private static final double DAY_MS = 24 * 3600 * 1000.0;

  /** A watch that is opened and, unless it is answered earlier, closed at these times in ms. */
  private record Attempt(double openedAt, double closedAt) {}

  /** The watches that are opened until {@code endMs} while none is answered. */
  private static List<Attempt> unansweredUntil(double endMs, long seed) {
    WatchSchedule schedule = new WatchSchedule(new Random(seed));
    List<Attempt> attempts = new ArrayList<>();
    double now = 0;
    while (now < endMs) {
      attempts.add(new Attempt(now, now + schedule.answerTimeout()));
      now += schedule.interval();
      schedule.growInterval();
      schedule.recordUnanswered();
    }
    return attempts;
  }

  @Test
  public void opensFewerWatchesTheLongerNoneIsAnswered() {
    List<Attempt> attempts = unansweredUntil(60_000, 1);
    long early = attempts.stream().filter(attempt -> attempt.openedAt() < 6000).count();
    long late = attempts.stream().filter(attempt -> attempt.openedAt() >= 54_000).count();
    assertTrue(early <= 4, early + " watches in the first 6 s");
    assertTrue(late <= 3, late + " watches in 6 s after a minute");
  }

  /** An outage of any length may end right after a watch was lost. */
  @Test
  public void opensTheNextWatchInTimeForItsAnswerHoweverLongNoneWasAnswered() {
    List<Attempt> attempts = unansweredUntil(DAY_MS, 2);
    for (int i = 1; i < attempts.size(); i++) {
      double interval = attempts.get(i).openedAt() - attempts.get(i - 1).openedAt();
      assertTrue(interval <= WatchSchedule.COUNTS_AS_RECEIVED_AFTER_MS / 2, "interval " + interval);
    }
  }

  @Test
  public void keepsFewWatchesOpenHoweverLongNoneIsAnswered() {
    PriorityQueue<Double> closingTimes = new PriorityQueue<>();
    for (Attempt attempt : unansweredUntil(DAY_MS, 3)) {
      while (!closingTimes.isEmpty() && closingTimes.peek() <= attempt.openedAt()) {
        closingTimes.poll();
      }
      closingTimes.add(attempt.closedAt());
      int open = closingTimes.size();
      assertTrue(open < Discovery.MAX_UNANSWERED, open + " open watches");
    }
  }

  @DataProvider
  public Object[][] answerTimes() {
    return new Object[][] {{1.2}, {2.5}, {7.0}, {13.0}, {50.0}, {200.0}, {1200.0}};
  }

  /** A discovery that returns after an outage and is slow is heard, however slow it is. */
  @Test(dataProvider = "answerTimes")
  public void hearsADiscoveryOfAnySpeedAfterAnOutage(double answerSeconds) {
    double answerMs = 1000 * answerSeconds;
    for (double returnsAt = 500; returnsAt < 3_600_000; returnsAt = 1.3 * returnsAt + 777) {
      double reachableFrom = returnsAt;
      double heardAt =
          unansweredUntil(returnsAt + 3 * answerMs + 6000, 4).stream()
              .filter(attempt -> attempt.openedAt() >= reachableFrom)
              .filter(attempt -> attempt.closedAt() > attempt.openedAt() + answerMs)
              .mapToDouble(attempt -> attempt.openedAt() + answerMs)
              .min()
              .orElse(Double.POSITIVE_INFINITY);
      assertTrue(
          heardAt - returnsAt <= 3 * answerMs + 6000,
          "back at " + returnsAt + " ms, heard at " + heardAt);
    }
  }
}
