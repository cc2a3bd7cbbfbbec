package bitternpulley;

import bitternpulley.config.BrokerConfiguration;
import bitternpulley.config.BrokerConfigurationReader;
import bitternpulley.config.ConfigurationReader;
import bitternpulley.routing.Settings;
import java.nio.file.Path;
import java.util.Optional;

/** The {@code check} command: prints the contracts that an operators' script results in. */
final class CheckCommand {
  private static final String SITE_CONFIGURATION = "LB_CONFIG";

  private CheckCommand() {}

  /**
   * Prints what the script prints, its effective configuration and the number of contracts. The
   * script is checked against the site that LB_CONFIG names, if that is set.
   *
   * @throws bitternpulley.config.ConfigurationException when the script or the site's configuration
   *     cannot be used
   */
  static void run(Path script) {
    Optional<Settings> site = siteSettings();
    BrokerConfiguration configuration = BrokerConfigurationReader.read(script, site);
    System.out.print(configuration.printed());
    System.out.println(configuration.document().toPrettyString());
    System.out.println(
        configuration.contracts().contracts().size()
            + " contracts"
            + (site.isPresent() ? "" : "; not checked against a site: set " + SITE_CONFIGURATION));
  }

  private static Optional<Settings> siteSettings() {
    if (System.getenv().getOrDefault(SITE_CONFIGURATION, "").isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(ConfigurationReader.read(System.getenv()).settings());
  }
}
