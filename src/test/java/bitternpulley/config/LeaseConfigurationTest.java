package bitternpulley.config;

import static bitternpulley.config.ConfigurationText.read;
import static bitternpulley.config.ConfigurationText.withKeys;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class LeaseConfigurationTest {
  private static final String THREE_PEERS =
      withKeys(
              "\"peer_listen\":\"127.0.0.1:7946\",\"peers\":"
                  + "[\"127.0.0.1:1\",\"127.0.0.1:2\",\"127.0.0.1:3\"]")
          .replace(
              "\"requestClasses\"", "\"instances\":3,\"rules\":{\"fall\":1000},\"requestClasses\"");

  @Test
  public void allThreePeersAreWitnessesByDefault() {
    LeaseConfiguration leases = new LeaseConfiguration(10_000, List.of());
    assertEquals(read(THREE_PEERS).leaseTerms(leases).witnesses(), List.of(0, 1, 2));
  }

  /** A lease configuration, a configuration file that it contradicts, and the faulty key. */
  @DataProvider
  public Object[][] contradictions() {
    return new Object[][] {
      {new LeaseConfiguration(10_000, List.of(3)), THREE_PEERS, "leases.witnesses"},
      {new LeaseConfiguration(2000, List.of()), THREE_PEERS, "leases.lasts_s"},
      {
        new LeaseConfiguration(10_000, List.of()),
        THREE_PEERS.replace("\"instances\":3", "\"instances\":4"),
        "instances"
      }
    };
  }

  @Test(dataProvider = "contradictions")
  public void namesKeyThatContradictsConfigurationFile(
      LeaseConfiguration leases, String text, String key) {
    Configuration configuration = read(text);
    ConfigurationException error =
        expectThrows(ConfigurationException.class, () -> configuration.leaseTerms(leases));
    assertTrue(error.getMessage().contains(key), error.getMessage());
  }
}
