package bitternpulley.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import bitternpulley.routing.Router;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ConfigurationTest {
  private static final String GOOD =
      """
      {"name":"n3","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"ff","limits":{"sockets":512},
       "known":{"revision":4,"complete":true,"members":[{"id":"s-1","host_port":"127.0.0.1:3","locality":"b",
         "cell":2,"phase":"draining","up_since_ms":7}]},
       "settings":{"failureDomains":["a","b"],"requestClasses":[{"name":"c","deadline":50}],"domain":{"shards":4},
         "policyLimits":{"streamsPerConn":9,"keepalive":1000}}}""";

  private static Configuration read(String text) throws IOException {
    Path file = Files.createTempFile("config", ".json");
    Files.writeString(file, text);
    return ConfigurationReader.read(Map.of("LB_CONFIG", file.toString()));
  }

  @Test
  public void allThatIsToldIsRead() throws IOException {
    Configuration c = read(GOOD);
    assertEquals(c.name(), "n3");
    assertEquals(c.seed(), 255);
    assertEquals(c.sockets(), 512);
    assertEquals(c.settings().tick(), 4.0, "room for answers that leave late");
    assertEquals(c.connections(), new Configuration.ConnectionSettings(9, 1000, false));
    assertTrue(
        read(GOOD.replace("\"settings\":{", "\"settings\":{\"costs\":{\"handshake\":0.02},"))
            .connections()
            .handshakesCostly());
    assertEquals(c.lastEndpoints().revision(), 4);
    assertEquals(
        c.lastEndpoints().entries().get(0).endpoint(),
        new Router.Endpoint("s-1", 1, 2, Router.ServerState.DRAINING, 7));
  }

  /**
   * Guards against a reload that finds discovery where it was, since the variable is as old as the
   * program.
   */
  @Test
  public void onceReplacedTheFileGoesBeforeTheVariable() throws IOException {
    Path file = Files.createTempFile("config", ".json");
    Files.writeString(file, GOOD);
    Map<String, String> told = Map.of("LB_CONFIG", file.toString(), "LB_DISCOVERY", "127.0.0.1:9");
    assertEquals(ConfigurationReader.read(told).discovery().port(), 9);
    assertEquals(ConfigurationReader.reread(told).discovery().port(), 2);
  }

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
  public void theFaultyKeyIsNamed(String from, String to, String key) throws IOException {
    ConfigurationException e =
        expectThrows(ConfigurationException.class, () -> read(GOOD.replace(from, to)));
    assertTrue(e.getMessage().contains(key), e.getMessage());
  }

  @Test
  public void membershipNeedsToKnowItsPeers() throws IOException {
    assertTrue(read(GOOD).peers().isEmpty());
    assertTrue(
        expectThrows(ConfigurationException.class, () -> read(GOOD).checkPeers())
            .getMessage()
            .contains("peer_listen"));
    String peers =
        GOOD.replace(
            "{\"name\":\"n3\"", "{\"name\":\"n3\",\"peer_listen\":\"127.0.0.1:7946\",\"peers\":[]");
    assertTrue(
        expectThrows(ConfigurationException.class, () -> read(peers).checkPeers())
            .getMessage()
            .contains("'peers'"));
    read(peers.replace("[]", "[\"127.0.0.1:7946\"]")).checkPeers();
    assertTrue(
        expectThrows(ConfigurationException.class, () -> read(peers.replace("[]", "[\"seven\"]")))
            .getMessage()
            .contains("'peers'"));
  }

  @Test
  public void leasesMustFitTheSettings() throws IOException {
    String three =
        GOOD.replace(
                "{\"name\":\"n3\"",
                "{\"name\":\"n3\",\"peer_listen\":\"127.0.0.1:7946\",\"peers\":[\"127.0.0.1:1\",\"127.0.0.1:2\",\"127.0.0.1:3\"]")
            .replace(
                "\"requestClasses\"",
                "\"instances\":3,\"rules\":{\"fall\":1000},\"requestClasses\"");
    assertEquals(
        read(three).leaseTerms(new LeaseConfiguration(10_000, List.of())).witnesses(),
        List.of(0, 1, 2));
    for (Object[] fault :
        new Object[][] {
          {10_000.0, List.of(3), "leases.witnesses", three},
          {2000.0, List.of(), "leases.lasts_s", three},
          {10_000.0, List.of(), "instances", three.replace("\"instances\":3", "\"instances\":4")}
        }) {
      @SuppressWarnings("unchecked")
      LeaseConfiguration leases =
          new LeaseConfiguration((double) fault[0], (List<Integer>) fault[1]);
      ConfigurationException e =
          expectThrows(
              ConfigurationException.class, () -> read((String) fault[3]).leaseTerms(leases));
      assertTrue(e.getMessage().contains((String) fault[2]), e.getMessage());
    }
  }

  @Test
  public void withoutAFileTheVariableIsNamed() {
    assertTrue(
        expectThrows(ConfigurationException.class, () -> ConfigurationReader.read(Map.of()))
            .getMessage()
            .contains("LB_CONFIG"));
  }

  @Test
  public void theSecondFrontIsOffUnlessItsFileNamesAnAddress() throws IOException {
    var settings = read(GOOD).settings();
    assertTrue(
        SearchConfigurationReader.read(new HashMap<>(), settings, java.util.Optional.empty())
            .isEmpty(),
        "as shipped");
    String text =
        "{\"listen\":\"127.0.0.1:9200\",\"indices\":{\"i\":{\"class\":\"c\",\"sections\":[1,3]}}}";
    SearchConfiguration c = search(text, settings);
    assertEquals(c.indices().get("i").sections().toString(), "[1, 3]");
    for (String[] fault :
        new String[][] {
          {"\"c\"", "\"d\"", "indices.i.class"},
          {"[1,3]", "[1,4]", "sections"},
          {"[1,3]", "[1,1]", "sections"},
          {"127.0.0.1:9200", "nine", "listen"},
          {"\"i\"", "\"I\"", "indices"},
          {"\"indices\"", "\"server_port\":0,\"indices\"", "server_port"}
        }) {
      assertTrue(
          expectThrows(
                  ConfigurationException.class,
                  () -> search(text.replace(fault[0], fault[1]), settings))
              .getMessage()
              .contains(fault[2]),
          fault[2]);
    }
  }

  private static SearchConfiguration search(String text, bitternpulley.routing.Settings settings)
      throws IOException {
    Path file = Files.createTempFile("search", ".json");
    Files.writeString(file, text);
    return SearchConfigurationReader.read(
            Map.of("LB_OPENSEARCH", file.toString()), settings, java.util.Optional.empty())
        .orElseThrow();
  }
}
