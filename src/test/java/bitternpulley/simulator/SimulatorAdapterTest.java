package bitternpulley.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SimulatorAdapterTest {
  private static final String LAUNCH =
      """
      {"clock":5,"msgs":[{"verb":"launch","who":1,"entropy":9,
      "profileData":{"news":1,"tick":5,"instances":1,
      "requestClasses":[{"aim":100,"deadline":400,"effect":"pure","name":"x"}],
      "domain":{"cells":1,"shards":1,"width":1},"policyLimits":{"maxAttempts":2}}},
      {"verb":"page","buffer":0,"entries":[{"server":"a:1","availability":"live"}]},
      {"verb":"fleet","who":1,"kind":"Persisted","index":1,"buffer":0}]}"""
          .replace("\n", "");

  private static final String QUERY_WITH_ONE_PART =
      """
      {"clock":6,"msgs":[{"verb":"workItem","who":1,"ref":7,"lane":0,"groupNo":1,
      "shard":-1,"shareOrCount":1,"expiresIn":400},
      {"verb":"workItem","who":1,"ref":8,"lane":0,"groupNo":1,
      "shard":0,"shareOrCount":1,"expiresIn":400,"extra":true}]}"""
          .replace("\n", "");

  private static final String ATTEMPT_COMPLETED =
      """
      {"clock":9,"msgs":[{"verb":"settled","who":1,"ref":8,"server":"a:1",
      "complete":true,"disposition":"completed","roundNo":0,"elapsed":3}]}"""
          .replace("\n", "");

  @Test
  void repliesToEmptyBatchWithoutActions() {
    assertEquals("{\"actions\":[]}", new SimulatorAdapter().reply("{\"clock\":1,\"msgs\":[]}"));
  }

  @Test
  void sendsPartAndAnswersQueryWhenItCompletes() {
    SimulatorAdapter adapter = new SimulatorAdapter();
    adapter.reply(LAUNCH);
    String sent = adapter.reply(QUERY_WITH_ONE_PART);
    assertTrue(sent.contains("\"verb\":\"issue\",\"who\":1,\"ref\":8,\"server\":\"a:1\""), sent);
    String done = adapter.reply(ATTEMPT_COMPLETED);
    assertTrue(done.contains("\"verb\":\"gatherUp\",\"who\":1,\"ref\":7,\"on\":true"), done);
  }

  private static String errorMessage(String batch) {
    return assertThrows(BatchException.class, () -> new SimulatorAdapter().reply(batch))
        .getMessage();
  }

  @Test
  void rejectsTextThatIsNotJson() {
    String message = errorMessage("nonsense");
    assertTrue(message.contains("JSON"), message);
  }

  @Test
  void namesMissingField() {
    assertEquals("missing field 'clock'", errorMessage("{\"msgs\":[]}"));
  }

  @Test
  void namesMissingSetting() {
    String message = errorMessage(LAUNCH.replace("requestClasses", "others"));
    assertTrue(message.contains("requestClasses"), message);
  }

  @Test
  void namesSettingOutOfRange() {
    String message = errorMessage(LAUNCH.replace("\"deadline\":400", "\"deadline\":-4"));
    assertTrue(message.contains("deadline"), message);
  }
}
