package bitternpulley;

import bitternpulley.config.BrokerConfiguration;
import bitternpulley.config.BrokerConfigurationReader;
import bitternpulley.config.ConfigurationReader;
import bitternpulley.routing.Settings;
import java.nio.file.Path;
import java.util.Optional;

/** The {@code check} command: evaluates an operators' script and prints its contracts. */
final class CheckCommand {
  private static final String SITE_CONFIGURATION_VARIABLE = "LB_CONFIG";

  private CheckCommand() {}

  /**
   * Prints the output of the script, the resulting configuration and the number of contracts. If
   * LB_CONFIG is set, the script is also checked against the site's configuration that it names.
   *
   * @throws bitternpulley.config.ConfigurationException if the script or the site's configuration
   *     is invalid
   */
  static void run(Path script) {
    Optional<Settings> siteSettings = readSiteSettings();
    BrokerConfiguration configuration = BrokerConfigurationReader.read(script, siteSettings);
    System.out.print(configuration.scriptOutput());
    System.out.println(configuration.document().toPrettyString());
    System.out.println(
        configuration.contracts().contracts().size()
            + " contracts"
            + (siteSettings.isPresent()
                ? ""
                : "; not checked against a site: set " + SITE_CONFIGURATION_VARIABLE));
  }

  private static Optional<Settings> readSiteSettings() {
    if (System.getenv().getOrDefault(SITE_CONFIGURATION_VARIABLE, "").isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(ConfigurationReader.read(System.getenv()).settings());
  }
}
