package bitternpulley.broker;

import static org.testng.Assert.assertEquals;

import bitternpulley.routing.Router;
import java.util.List;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/** Which attempts of one turn share a call. */
public class SharedCallsTest {
  private static final Request REQUEST =
      new Request(
          1,
          null,
          0,
          1000,
          false,
          Router.Terms.CLASS_DEFAULT,
          IntStream.range(0, 9).mapToObj(i -> new Request.QueryPart(i, 1.0 / 9, 0)).toList(),
          null);

  private static Effect.StartAttempt start(int part, String server) {
    return new Effect.StartAttempt(new AttemptId(part, 0), REQUEST, part, server, 500);
  }

  @Test
  public void whereCallsHoldOnePartNothingChanges() {
    List<Effect> effects = List.of(start(0, "a"), start(1, "a"));
    assertEquals(CallBatcher.join(effects, 1), effects);
  }

  @Test
  public void attemptsToOneServerShareACallAndOthersStayWhereTheyWere() {
    Effect word = new Effect.Log("word");
    assertEquals(
        CallBatcher.join(List.of(start(0, "a"), start(1, "b"), word, start(2, "a")), 16),
        List.of(new Effect.StartCall(List.of(start(0, "a"), start(2, "a"))), start(1, "b"), word));
  }

  @Test
  public void aCallHoldsNoMoreThanTheSettingsSay() {
    assertEquals(
        CallBatcher.join(
            List.of(start(0, "a"), start(1, "a"), start(2, "a"), start(3, "a"), start(4, "a")), 2),
        List.of(
            new Effect.StartCall(List.of(start(0, "a"), start(1, "a"))),
            new Effect.StartCall(List.of(start(2, "a"), start(3, "a"))),
            start(4, "a")));
  }

  /** Guards against a word that gives an attempt up and goes before the attempt itself. */
  @Test
  public void whatGivesAnAttemptUpStaysBehindIt() {
    Effect abandon = new Effect.CancelAttempt(new AttemptId(2, 0), REQUEST, "a");
    assertEquals(
        CallBatcher.join(List.of(start(0, "a"), start(2, "a"), abandon), 16),
        List.of(new Effect.StartCall(List.of(start(0, "a"), start(2, "a"))), abandon));
  }
}
