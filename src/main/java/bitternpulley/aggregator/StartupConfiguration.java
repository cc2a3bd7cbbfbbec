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
 * The complete, validated configuration with which a process starts.
 *
 * @param aggregator the configuration of this aggregator, from the platform's file
 * @param broker the configuration of the broker, from the operators' script
 * @param search the configuration of the OpenSearch HTTP server, empty if there is none
 */
record StartupConfiguration(
    Configuration aggregator, BrokerConfiguration broker, Optional<SearchConfiguration> search) {

  /**
   * Reads the files that the environment variables name.
   *
   * @throws bitternpulley.config.ConfigurationException if one of them is invalid
   */
  static StartupConfiguration read(Map<String, String> environment) {
    Configuration aggregator = ConfigurationReader.read(environment);
    BrokerConfiguration broker = BrokerConfigurationReader.read(environment, aggregator.settings());
    if (broker.membership().isPresent()) {
      checkMembership(aggregator, broker.membership().get());
    }
    Optional<SearchConfiguration> search =
        SearchConfigurationReader.read(
            environment, aggregator.settings(), broker.searchFrontendSettings());
    return new StartupConfiguration(aggregator, broker, search);
  }

  private static void checkMembership(
      Configuration aggregator, MembershipConfiguration membership) {
    aggregator.checkPeers();
    membership.leases().ifPresent(aggregator::leaseTerms);
  }
}
