package bitternpulley.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import bitternpulley.routing.Router.Outcome;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the contents of frames exchanged with slot servers. */
public class SlotFramesTest {
  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  @Test
  public void decodesAServedResult() {
    SlotFrames.Result result = SlotFrames.decodeResult("s", bytes("q.3 S 7 -\nvalue"));
    assertEquals(result.partId(), "q.3");
    assertEquals(result.outcome(), Outcome.OK);
    assertEquals(result.value().text(), "value");
  }

  @Test
  public void decodesResultsWithoutAValue() {
    SlotFrames.Result failed = SlotFrames.decodeResult("s", bytes("q.3 E 0 -\n"));
    assertEquals(failed.outcome(), Outcome.ERROR);
    assertNull(failed.value());
    SlotFrames.Result rejected = SlotFrames.decodeResult("s", bytes("q.3 B 0 -\n"));
    assertEquals(rejected.outcome(), Outcome.REJECTED);
    assertNull(rejected.value());
  }

  /** Results that cannot be used, each with its defect. */
  @DataProvider
  public Object[][] unusableResults() {
    return new Object[][] {
      {"q.3 S 7 -", "it has no first line of three words"},
      {"q.3 S\nvalue", "it has no first line of three words"},
      {" S 7\nvalue", "it has no first line of three words"},
      {"q.3 ? 7 -\nvalue", "its status is '?'"},
      {"q.3 S 7 -\n", "it has no value"},
      {"q.3 S 7 -\nval\nue", "its value is not plain text"},
      {"q.3 S 7 -\nval\u007fue", "its value is not plain text"},
      {"q.3 S 7 -\nval\u00ffue", "its value is not plain text"},
    };
  }

  @Test(dataProvider = "unusableResults")
  public void errorOfUnusableResultNamesServerFrameTypeAndDefect(String payload, String defect) {
    try {
      SlotFrames.decodeResult("s-1", bytes(payload));
    } catch (ProtocolException expected) {
      assertEquals(expected.getMessage(), "slot server s-1, RESULT frame: " + defect);
      return;
    }
    throw new AssertionError("no violation: " + payload);
  }

  @Test
  public void findsFrameTypesByTheirTypeCodes() {
    for (FrameType type : FrameType.values()) {
      assertEquals(FrameType.ofTypeCode(type.typeCode()), type);
    }
    assertNull(FrameType.ofTypeCode('6'));
  }

  @Test
  public void valueIsCompleteOnlyInTheFormatOfTheProtocol() {
    assertTrue(SlotFrames.isCompleteValue(new PartValue(bytes("00000000000000aa"))));
    assertFalse(SlotFrames.isCompleteValue(new PartValue(bytes("000000000"))));
  }
}
