package bitternpulley.aggregator;

import bitternpulley.config.BrokerConfiguration;
import bitternpulley.config.BrokerConfigurationReader;
import bitternpulley.config.Configuration;
import bitternpulley.config.ConfigurationReader;
import bitternpulley.config.MembershipConfiguration;
import bitternpulley.config.SearchConfiguration;
import bitternpulley.config.SearchConfigurationReader;
import java.util.Map;
import java.util.Optional;

/**
 * All configuration that a process starts with, checked.
 *
 * @param site the platform's configuration file
 * @param broker the operators' script
 * @param search the OpenSearch front, empty where none is configured
 */
record StartupConfiguration(
    Configuration site, BrokerConfiguration broker, Optional<SearchConfiguration> search) {

  /**
   * Reads the files that the environment names.
   *
   * @throws bitternpulley.config.ConfigurationException when one of them cannot be used
   */
  static StartupConfiguration read(Map<String, String> environment) {
    Configuration site = ConfigurationReader.read(environment);
    BrokerConfiguration broker = BrokerConfigurationReader.read(environment, site.settings());
    if (broker.membership().isPresent()) {
      checkMembership(site, broker.membership().get());
    }
    Optional<SearchConfiguration> search =
        SearchConfigurationReader.read(environment, site.settings(), broker.searchFront());
    return new StartupConfiguration(site, broker, search);
  }

  private static void checkMembership(Configuration site, MembershipConfiguration membership) {
    site.checkPeers();
    membership.leases().ifPresent(site::leaseTerms);
  }
}
