package bitternpulley;

import bitternpulley.config.BrokerConfiguration;
import bitternpulley.config.BrokerConfigurationReader;
import bitternpulley.config.ConfigurationException;
import bitternpulley.config.ConfigurationReader;
import bitternpulley.routing.Settings;
import java.nio.file.Path;
import java.util.Optional;

/** Says what an operators' script comes to, before anything runs by it. */
final class Check {
  private static final int BAD_CONFIGURATION = 2;

  private Check() {}

  /**
   * Prints the effective contracts of a script and returns 0, or the fault and 2. Checked against
   * LB_CONFIG's site if set.
   */
  static int main(String file) {
    try {
      Optional<Settings> settings =
          System.getenv().getOrDefault("LB_CONFIG", "").isEmpty()
              ? Optional.empty()
              : Optional.of(ConfigurationReader.read(System.getenv()).settings());
      BrokerConfiguration read = BrokerConfigurationReader.read(Path.of(file), settings);
      System.out.print(read.printed());
      System.out.println(read.document().toPrettyString());
      System.out.println(
          read.contracts().contracts().size()
              + " contracts"
              + (settings.isPresent() ? "" : "; not checked against a site: set LB_CONFIG"));
      return 0;
    } catch (ConfigurationException e) {
      System.err.println("configuration: " + e.getMessage());
      return BAD_CONFIGURATION;
    }
  }
}
