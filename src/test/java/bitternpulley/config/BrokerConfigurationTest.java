package bitternpulley.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import bitternpulley.contracts.Contract;
import bitternpulley.routing.Settings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class BrokerConfigurationTest {
  private static final String GOOD =
      "contract(id = 'a', share = 0.5, classes = {'slot-search': terms()})\n";

  /** The rehearsal's site, with classes named as a booking service has them. */
  private static Settings site() throws IOException {
    Path file = Files.createTempFile("site", ".json");
    try {
      Files.writeString(
          file,
          Files.readString(Path.of("deploy/rehearsal.json"))
              .replace("\"whole\"", "\"slot-search\"")
              .replace("\"keyed\"", "\"slot-booking\"")
              .replace("\"part\"", "\"stock-report\""));
      return ConfigurationReader.read(Map.of("LB_CONFIG", file.toString())).settings();
    } finally {
      Files.delete(file);
    }
  }

  private static BrokerConfiguration read(String text) throws IOException {
    Path file = Files.createTempFile("broker", ".star");
    try {
      Files.writeString(file, text);
      return BrokerConfigurationReader.read(file, Optional.of(site()));
    } finally {
      Files.delete(file);
    }
  }

  @Test
  public void theShippedScriptsCanBeUsed() throws IOException {
    assertTrue(
        BrokerConfigurationReader.read(Path.of("deploy/broker.star"), Optional.of(site()))
            .contracts()
            .isEmpty());
    BrokerConfiguration example =
        BrokerConfigurationReader.read(
            Path.of("docs/examples/three-teams.star"), Optional.of(site()));
    assertEquals(
        example.contracts().contracts().stream().map(Contract::id).toList(),
        java.util.List.of("donor-app", "stock-desk", "partners"));
    Contract partners = example.contracts().find("partners").orElseThrow();
    assertEquals(partners.classes().get(1).priorityWeight(), 2.0);
    assertTrue(example.tenantIdentification().hasFallback());
  }

  @Test
  public void anAbsentOrEmptyNameMeansNoContracts() throws IOException {
    assertEquals(BrokerConfigurationReader.read(Map.of(), site()), BrokerConfiguration.NONE);
    assertEquals(
        BrokerConfigurationReader.read(Map.of("LB_BROKER", ""), site()), BrokerConfiguration.NONE);
  }

  @DataProvider
  public Object[][] unusable() {
    return new Object[][] {
      {GOOD + GOOD.replace("'a'", "'b'").replace("0.5", "0.6"), ":2:20: 'contracts.1.share'"},
      {GOOD.replace("0.5", "0"), ":1:20: 'contracts.0.share'"},
      {GOOD.replace("0.5", "'much'"), ":1:20: 'contracts.0.share'"},
      {GOOD + GOOD, ":2:10: 'contracts.1.id'"},
      {"contract(id = 'a', classes = {'slot-search': terms()})\n", ":1:1: 'contracts.0.share'"},
      {
        GOOD.replace("terms()", "terms(give_up_ms = 99999)"),
        "'contracts.0.classes.slot-search.give_up_ms' is past the site's"
      },
      {
        GOOD.replace("terms()", "terms(wanted_ms = 99999)"),
        "'contracts.0.classes.slot-search.wanted_ms'"
      },
      {GOOD.replace("terms()", "terms(worht = 1)"), "worht"},
      {
        GOOD.replace("slot-search", "slot-serach"),
        "'contracts.0.classes.slot-serach' is no class of the site"
      },
      {GOOD.replace("share", "ceiling = 0.2, share"), ":1:20: 'contracts.0.ceiling'"},
      {
        GOOD.replace("share", "default = True, share")
            + GOOD.replace("'a'", "'b'").replace("share", "default = True, share"),
        "'contracts.1.default'"
      },
      {
        "opensearch(listen = None, indices = {'i': {'class': 'slot-search'}})\n"
            + GOOD.replace("share", "indices = ['i'], share")
            + GOOD.replace("'a'", "'b'").replace("share", "indices = ['i'], share"),
        "'contracts.1.indices.0' is claimed"
      },
      {
        GOOD.replace("share", "indices = ['none'], share"), "'contracts.0.indices.0' names no index"
      },
      {
        GOOD.replace("share", "keys = [{'id': 'k', 'salt': 'zz', 'sha256': ''}], share"),
        "'contracts.0.keys"
      },
      {
        "accounts(list = True)\naccounts(list = True)\n", ":2:1: accounts() is called a second time"
      },
      {"membership(interval_ms = 10)\n", ":1:12: 'membership.interval_ms'"},
      {"membership(timeout_ms = 500)\n", "'membership.timeout_ms' is over a third of interval_ms"},
      {"membership(relais = 3)\n", "relais"},
      {"leases()\n", "'leases' needs membership()"},
      {"membership()\nleases(lasts_s = 1)\n", "'leases.lasts_s'"},
      {"membership()\nleases(witnesses = [1, 1])\n", "'leases.witnesses'"},
      {"x = 1 +\n", ":1:8: "},
      {"nothing()\n", ":1:1: nothing is called 'nothing'"}
    };
  }

  @Test(dataProvider = "unusable")
  public void whatCannotBeUsedIsNamedWithItsPlace(String text, String message) {
    ConfigurationException e = expectThrows(ConfigurationException.class, () -> read(text));
    assertTrue(e.getMessage().contains(message), e.getMessage());
  }
}
