package bitternpulley.config;

import static bitternpulley.config.ConfigurationText.VALID;
import static bitternpulley.config.ConfigurationText.read;
import static bitternpulley.config.ConfigurationText.withKeys;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import bitternpulley.routing.Router;
import java.util.Map;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ConfigurationReaderTest {
  private static String messageOf(org.testng.Assert.ThrowingRunnable action) {
    return expectThrows(ConfigurationException.class, action).getMessage();
  }

  @Test
  public void readsWholeConfiguration() {
    Configuration configuration = read(VALID);
    assertEquals(configuration.name(), "n3");
    assertEquals(configuration.seed(), 255);
    assertEquals(configuration.maxSockets(), 512);
    assertEquals(configuration.settings().tick(), 4.0, "the minimum tick of the process");
    assertEquals(configuration.connections(), new Configuration.ConnectionSettings(9, 1000, false));
    assertEquals(configuration.lastEndpoints().revision(), 4);
    assertEquals(
        configuration.lastEndpoints().entries().get(0).endpoint(),
        new Router.Endpoint("s-1", 1, 2, Router.ServerState.DRAINING, 7));
  }

  @Test
  public void handshakesAreCostlyOnlyIfSettingsAssignACost() {
    assertFalse(read(VALID).connections().handshakesCostly());
    String costly =
        VALID.replace("\"settings\":{", "\"settings\":{\"costs\":{\"handshake\":0.02},");
    assertTrue(read(costly).connections().handshakesCostly());
  }

  @Test
  public void rereadIgnoresDiscoveryVariable() {
    TemporaryFile.with(
        VALID,
        ".json",
        file -> {
          Map<String, String> environment =
              Map.of("LB_CONFIG", file.toString(), "LB_DISCOVERY", "127.0.0.1:9");
          assertEquals(ConfigurationReader.read(environment).discovery().port(), 9);
          assertEquals(ConfigurationReader.reread(environment).discovery().port(), 2);
          return file;
        });
  }

  /** A text of the valid file, its replacement, and the key that is then faulty. */
  @DataProvider
  public Object[][] faults() {
    return new Object[][] {
      {"\"n3\"", "\"\"", "name"},
      {"127.0.0.1:1\"", "here\"", "listen"},
      {"127.0.0.1:2", "x:2", "discovery"},
      {"\"ff\"", "\"zz\"", "seed"},
      {"512", "-1", "sockets"},
      {"512", "3", "sockets"},
      {"127.0.0.1:3", "no:3", "host_port"},
      {"draining", "what", "phase"},
      {"\"revision\":4,", "", "revision"},
      {"requestClasses", "others", "requestClasses"},
      {"\"deadline\":50", "\"deadline\":-1", "deadline"},
      {":9,", ":0,", "streamsPerConn"},
      {"1000", "\"x\"", "keepalive"},
      {"\"settings\"", "\"sets\"", "settings"},
      {"\"shards\":4", "\"shards\":-4", "shards"},
      {"\"shards\":4", "\"shards\":0", "shards"},
      {"\"requestClasses\"", "\"selfIndex\":3,\"instances\":3,\"requestClasses\"", "selfIndex"},
      {"\"requestClasses\"", "\"instances\":0,\"requestClasses\"", "instances"},
      {"\"requestClasses\"", "\"zone\":2,\"requestClasses\"", "zone"},
      {"\"shards\":4", "\"shards\":4,\"width\":3,\"cells\":2", "width"},
      {"\"requestClasses\"", "\"costs\":{\"probe\":-0.1},\"requestClasses\"", "probe"},
      {"\"requestClasses\"", "\"costs\":{\"peer\":\"dear\"},\"requestClasses\"", "peer"},
      {":9,", ":9,\"maxAttempts\":0,", "maxAttempts"},
      {":9,", ":9,\"maxOpen\":0,", "maxOpen"},
      {":9,", ":9,\"connectTimeout\":0,", "connectTimeout"},
      {"{\"name\":\"n3\"", "[{\"name\":\"n3\"", "LB_CONFIG"}
    };
  }

  @Test(dataProvider = "faults")
  public void namesFaultyKey(String from, String to, String key) {
    ConfigurationException error =
        expectThrows(ConfigurationException.class, () -> read(VALID.replace(from, to)));
    assertTrue(error.getMessage().contains(key), error.getMessage());
    assertEquals(error.key(), Optional.of(key));
  }

  @Test
  public void namesVariableIfNoFileIsSet() {
    assertTrue(messageOf(() -> ConfigurationReader.read(Map.of())).contains("LB_CONFIG"));
  }

  @Test
  public void peersAreOptional() {
    assertTrue(read(VALID).peers().isEmpty());
  }

  @Test
  public void membershipRequiresPeerAddress() {
    assertTrue(messageOf(() -> read(VALID).checkPeers()).contains("peer_listen"));
  }

  @Test
  public void membershipRequiresThisAggregatorAmongPeers() {
    String withoutPeers = withKeys("\"peer_listen\":\"127.0.0.1:7946\",\"peers\":[]");
    assertTrue(messageOf(() -> read(withoutPeers).checkPeers()).contains("'peers'"));
    read(withoutPeers.replace("[]", "[\"127.0.0.1:7946\"]")).checkPeers();
  }

  @Test
  public void namesPeersIfAnAddressIsMalformed() {
    String malformed = withKeys("\"peer_listen\":\"127.0.0.1:7946\",\"peers\":[\"seven\"]");
    assertTrue(messageOf(() -> read(malformed)).contains("'peers'"));
  }
}
