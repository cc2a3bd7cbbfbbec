package bitternpulley.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import bitternpulley.contracts.Contract;
import bitternpulley.routing.Settings;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class BrokerConfigurationReaderTest {
  private static final String VALID =
      "contract(id = 'a', share = 0.5, classes = {'slot-search': terms()})\n";

  /** The settings of deploy/rehearsal.json, with the class names of the example script. */
  private static Settings siteSettings() {
    String text;
    try {
      text = Files.readString(Path.of("deploy/rehearsal.json"));
    } catch (IOException exception) {
      throw new UncheckedIOException(exception);
    }
    return ConfigurationText.read(
            text.replace("\"whole\"", "\"slot-search\"")
                .replace("\"keyed\"", "\"slot-booking\"")
                .replace("\"part\"", "\"stock-report\""))
        .settings();
  }

  private static BrokerConfiguration readFile(String path) {
    return BrokerConfigurationReader.read(Path.of(path), Optional.of(siteSettings()));
  }

  private static BrokerConfiguration read(String text) {
    return TemporaryFile.with(
        text, ".star", file -> BrokerConfigurationReader.read(file, Optional.of(siteSettings())));
  }

  @Test
  public void shippedScriptHasNoContracts() {
    assertTrue(readFile("deploy/broker.star").contracts().isEmpty());
  }

  @Test
  public void readsContractsOfExampleScript() {
    BrokerConfiguration example = readFile("docs/examples/three-teams.star");
    assertEquals(
        example.contracts().contracts().stream().map(Contract::id).toList(),
        List.of("donor-app", "stock-desk", "partners"));
    Contract partners = example.contracts().find("partners").orElseThrow();
    assertEquals(partners.classes().get(1).priorityWeight(), 2.0);
    assertTrue(example.tenantIdentification().hasDefaultContract());
  }

  @Test
  public void hasNoContractsWithoutScript() {
    assertEquals(
        BrokerConfigurationReader.read(Map.of(), siteSettings()), BrokerConfiguration.NONE);
    assertEquals(
        BrokerConfigurationReader.read(Map.of("LB_BROKER", ""), siteSettings()),
        BrokerConfiguration.NONE);
  }

  /** Scripts with contracts that cannot be used, and the text that the message has to contain. */
  @DataProvider
  public Object[][] unusableContracts() {
    return new Object[][] {
      {VALID + VALID.replace("'a'", "'b'").replace("0.5", "0.6"), ":2:20: 'contracts.1.share'"},
      {VALID.replace("0.5", "0"), ":1:20: 'contracts.0.share'"},
      {VALID.replace("0.5", "'much'"), ":1:20: 'contracts.0.share'"},
      {VALID + VALID, ":2:10: 'contracts.1.id'"},
      {"contract(id = 'a', classes = {'slot-search': terms()})\n", ":1:1: 'contracts.0.share'"},
      {
        VALID.replace("terms()", "terms(give_up_ms = 99999)"),
        "'contracts.0.classes.slot-search.give_up_ms' exceeds the site's deadline of"
      },
      {
        VALID.replace("terms()", "terms(wanted_ms = 99999)"),
        "'contracts.0.classes.slot-search.wanted_ms'"
      },
      {VALID.replace("terms()", "terms(worht = 1)"), "worht"},
      {
        VALID.replace("slot-search", "slot-serach"),
        "'contracts.0.classes.slot-serach' is not a query class of the site"
      },
      {VALID.replace("share", "ceiling = 0.2, share"), ":1:20: 'contracts.0.ceiling'"}
    };
  }

  /** Scripts with unusable tenant identification, and the text that the message has to contain. */
  @DataProvider
  public Object[][] unusableIdentification() {
    return new Object[][] {
      {
        VALID.replace("share", "default = True, share")
            + VALID.replace("'a'", "'b'").replace("share", "default = True, share"),
        "'contracts.1.default'"
      },
      {
        "opensearch(listen = None, indices = {'i': {'class': 'slot-search'}})\n"
            + VALID.replace("share", "indices = ['i'], share")
            + VALID.replace("'a'", "'b'").replace("share", "indices = ['i'], share"),
        "'contracts.1.indices.0' must be unique among all contracts"
      },
      {
        VALID.replace("share", "indices = ['none'], share"),
        "'contracts.0.indices.0' is not an index of opensearch()"
      },
      {
        VALID.replace("share", "keys = [{'id': 'k', 'salt': 'zz', 'sha256': ''}], share"),
        "'contracts.0.keys"
      }
    };
  }

  /** Scripts with errors outside contracts, and the text that the message has to contain. */
  @DataProvider
  public Object[][] unusableSections() {
    return new Object[][] {
      {
        "accounts(list = True)\naccounts(list = True)\n", ":2:1: accounts() is called a second time"
      },
      {"membership(interval_ms = 10)\n", ":1:12: 'membership.interval_ms'"},
      {
        "membership(timeout_ms = 500)\n",
        "'membership.timeout_ms' is more than a third of 'interval_ms'"
      },
      {"membership(relais = 3)\n", "relais"},
      {"leases()\n", "'leases' needs membership()"},
      {"membership()\nleases(lasts_s = 1)\n", "'leases.lasts_s'"},
      {"membership()\nleases(witnesses = [1, 1])\n", "'leases.witnesses'"},
      {"x = 1 +\n", ":1:8: "},
      {"nothing()\n", ":1:1: the name 'nothing' is not defined"}
    };
  }

  @Test(dataProvider = "unusableContracts")
  public void namesFaultyKeyOfContractAndItsPosition(String text, String message) {
    assertUnusable(text, message);
  }

  @Test(dataProvider = "unusableIdentification")
  public void namesFaultyKeyOfTenantIdentification(String text, String message) {
    assertUnusable(text, message);
  }

  @Test(dataProvider = "unusableSections")
  public void namesErrorOutsideContracts(String text, String message) {
    assertUnusable(text, message);
  }

  private static void assertUnusable(String text, String message) {
    ConfigurationException error = expectThrows(ConfigurationException.class, () -> read(text));
    assertTrue(error.getMessage().contains(message), error.getMessage());
    assertTrue(error.file().isPresent(), "the error names the file");
  }
}
