package bitternpulley.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import bitternpulley.config.ConfigurationReader;
import bitternpulley.net.EventLoop;
import java.util.Map;
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
}
