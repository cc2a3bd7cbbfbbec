package bitternpulley.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import bitternpulley.routing.Settings;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class SearchConfigurationReaderTest {
  private static final String VALID =
      "{\"listen\":\"127.0.0.1:9200\",\"indices\":{\"i\":{\"class\":\"c\",\"sections\":[1,3]}}}";

  private final Settings settings = ConfigurationText.read(ConfigurationText.VALID).settings();

  private SearchConfiguration read(String text) {
    return TemporaryFile.with(
        text,
        ".json",
        file ->
            SearchConfigurationReader.read(
                    Map.of("LB_OPENSEARCH", file.toString()), settings, Optional.empty())
                .orElseThrow());
  }

  @Test
  public void searchFrontEndIsDisabledInShippedFile() {
    assertTrue(SearchConfigurationReader.read(Map.of(), settings, Optional.empty()).isEmpty());
  }

  @Test
  public void readsSectionsOfIndexAsShards() {
    assertEquals(read(VALID).indices().get("i").shards(), List.of(1, 3));
  }

  /** A text of the valid file, its replacement, and the key that is then faulty. */
  @DataProvider
  public Object[][] faults() {
    return new Object[][] {
      {"\"c\"", "\"d\"", "indices.i.class"},
      {"[1,3]", "[1,4]", "sections"},
      {"[1,3]", "[1,1]", "sections"},
      {"127.0.0.1:9200", "nine", "listen"},
      {"\"i\"", "\"I\"", "indices"},
      {"\"indices\"", "\"server_port\":0,\"indices\"", "server_port"}
    };
  }

  @Test(dataProvider = "faults")
  public void namesFaultyKey(String from, String to, String key) {
    ConfigurationException error =
        expectThrows(ConfigurationException.class, () -> read(VALID.replace(from, to)));
    assertTrue(error.getMessage().contains(key), error.getMessage());
    assertTrue(error.file().isPresent(), "the error names the file");
  }
}
