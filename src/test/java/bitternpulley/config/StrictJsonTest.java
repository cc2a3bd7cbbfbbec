package bitternpulley.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class StrictJsonTest {
  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @Test
  public void readsTheSameTreeAsAnObjectMapper() throws IOException {
    String text =
        "{\"a\":[1,-2.5,3000000000,true,false,null,\"\\u00e9\\n\",{}],\"b\":{\"c\":[]},\"d\":1e3}";
    assertEquals(StrictJson.read(bytes(text)), new ObjectMapper().readTree(text));
  }

  /** Texts that readers could understand differently, and some too deep or too long. */
  @DataProvider
  public Object[][] faults() {
    return new Object[][] {
      {""},
      {"{"},
      {"[1,"},
      {"{\"a\":1,\"a\":2}"},
      {"{} {}"},
      {"{}x"},
      {"NaN"},
      {"{\"a\":01}"},
      {"[".repeat(5000)},
      {"[" + "9".repeat(2000) + "]"}
    };
  }

  @Test(dataProvider = "faults")
  public void rejectsWhatIsNotExactlyOneValue(String text) {
    expectThrows(IOException.class, () -> StrictJson.read(bytes(text)));
  }
}
