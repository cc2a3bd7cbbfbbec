package bitternpulley.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class HostTest {
  private static final String LAUNCH =
      """
      {"clock":5,"msgs":[{"verb":"launch","who":1,"entropy":9,"profileData":{"news":1,"tick":5,"instances":1,
      "requestClasses":[{"aim":100,"deadline":400,"effect":"pure","name":"x"}],
      "domain":{"cells":1,"shards":1,"width":1},"policyLimits":{"maxAttempts":2}}},
      {"verb":"page","buffer":0,"entries":[{"server":"a:1","availability":"live"}]},
      {"verb":"fleet","who":1,"kind":"Persisted","index":1,"buffer":0}]}"""
          .replace("\n", "");

  @Test
  void anEmptyBatchGetsAnEmptyReply() {
    assertEquals("{\"actions\":[]}", new Host().reply("{\"clock\":1,\"msgs\":[]}"));
  }

  @Test
  void aQueryIsSentAndAnswered() {
    Host host = new Host();
    host.reply(LAUNCH);
    String sent =
        host.reply(
            "{\"clock\":6,\"msgs\":[{\"verb\":\"workItem\",\"who\":1,\"ref\":7,\"lane\":0,\"groupNo\":1,"
                + "\"shard\":-1,\"shareOrCount\":1,\"expiresIn\":400},{\"verb\":\"workItem\",\"who\":1,\"ref\":8,\"lane\":0,"
                + "\"groupNo\":1,\"shard\":0,\"shareOrCount\":1,\"expiresIn\":400,\"extra\":true}]}");
    assertTrue(sent.contains("\"verb\":\"issue\",\"who\":1,\"ref\":8,\"server\":\"a:1\""), sent);
    String done =
        host.reply(
            "{\"clock\":9,\"msgs\":[{\"verb\":\"settled\",\"who\":1,\"ref\":8,\"server\":\"a:1\","
                + "\"complete\":true,\"disposition\":\"completed\",\"roundNo\":0,\"elapsed\":3}]}");
    assertTrue(done.contains("\"verb\":\"gatherUp\",\"who\":1,\"ref\":7,\"on\":true"), done);
  }

  @Test
  void unusableTextIsNamed() {
    assertTrue(
        assertThrows(WireException.class, () -> new Host().reply("nonsense"))
            .getMessage()
            .contains("JSON"));
    assertEquals(
        "missing field 'clock'",
        assertThrows(WireException.class, () -> new Host().reply("{\"msgs\":[]}")).getMessage());
    assertTrue(
        assertThrows(
                WireException.class,
                () -> new Host().reply(LAUNCH.replace("requestClasses", "others")))
            .getMessage()
            .contains("requestClasses"));
    assertTrue(
        assertThrows(
                WireException.class,
                () -> new Host().reply(LAUNCH.replace("\"deadline\":400", "\"deadline\":-4")))
            .getMessage()
            .contains("deadline"));
  }
}
