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
  public void readsSameTreeAsObjectMapper() throws IOException {
    String text =
        "{\"a\":[1,-2.5,3000000000,true,false,null,\"\\u00e9\\n\",{}],\"b\":{\"c\":[]},\"d\":1e3}";
    assertEquals(StrictJson.read(bytes(text)), new ObjectMapper().readTree(text));
  }

  /** Malformed texts, texts that parsers could interpret differently, and too deep or long ones. */
  @DataProvider
  public Object[][] invalidTexts() {
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
      {"[".repeat(250) + "]".repeat(250)},
      {"[" + "9".repeat(2000) + "]"}
    };
  }

  @Test(dataProvider = "invalidTexts")
  public void rejectsTextWithoutExactlyOneValidValue(String text) {
    expectThrows(IOException.class, () -> StrictJson.read(bytes(text)));
  }
}
