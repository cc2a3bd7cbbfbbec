package bitternpulley.broker;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.Test;

/** Tests which attempts of one event share a call. */
public class CallBatcherTest {
  private static final Request REQUEST =
      new RequestBuilder(1).timeLeft(1000).shards(0, 1, 2, 3, 4, 5, 6, 7, 8).build();

  private static Effect.StartAttempt start(int part, String server) {
    return new Effect.StartAttempt(new AttemptId(part, 0), REQUEST, part, server, 500);
  }

  @Test
  public void changesNothingWhenCallsHoldOnePart() {
    List<Effect> effects = List.of(start(0, "a"), start(1, "a"));
    assertEquals(CallBatcher.join(effects, 1), effects);
  }

  @Test
  public void joinsAttemptsToOneServerAndKeepsThePositionOfOtherEffects() {
    Effect log = new Effect.Log("text");
    assertEquals(
        CallBatcher.join(List.of(start(0, "a"), start(1, "b"), log, start(2, "a")), 16),
        List.of(new Effect.StartCall(List.of(start(0, "a"), start(2, "a"))), start(1, "b"), log));
  }

  @Test
  public void startsAnotherCallWhenOneIsFull() {
    assertEquals(
        CallBatcher.join(
            List.of(start(0, "a"), start(1, "a"), start(2, "a"), start(3, "a"), start(4, "a")), 2),
        List.of(
            new Effect.StartCall(List.of(start(0, "a"), start(1, "a"))),
            new Effect.StartCall(List.of(start(2, "a"), start(3, "a"))),
            start(4, "a")));
  }

  @Test
  public void keepsCancellationAfterTheAttemptThatItCancels() {
    Effect cancel = new Effect.CancelAttempt(new AttemptId(2, 0), REQUEST, "a");
    assertEquals(
        CallBatcher.join(List.of(start(0, "a"), start(2, "a"), cancel), 16),
        List.of(new Effect.StartCall(List.of(start(0, "a"), start(2, "a"))), cancel));
  }
}
