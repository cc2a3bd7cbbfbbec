package bitternpulley.aggregator;

import bitternpulley.admin.ReloadObserver;
import bitternpulley.config.BrokerConfiguration;
import bitternpulley.config.BrokerConfigurationReader;
import bitternpulley.config.Configuration;
import bitternpulley.config.ConfigurationException;
import bitternpulley.config.ConfigurationReader;
import bitternpulley.platform.Discovery;
import java.lang.System.Logger.Level;

/**
 * Rereads the configuration while the process is serving. Changes of the operators' script and of
 * the discovery address take effect at once, all others at the next start. An invalid configuration
 * changes nothing.
 */
final class ConfigurationReload {
  private static final System.Logger LOG = System.getLogger(ConfigurationReload.class.getName());

  private final ServiceContext context;
  private final Discovery discovery;

  ConfigurationReload(ServiceContext context, Discovery discovery) {
    this.context = context;
    this.discovery = discovery;
  }

  /** Reads on a separate thread, because the event loop must not block on files. */
  void start(ReloadObserver observer) {
    new Thread(() -> readAndApply(observer), "reload").start();
  }

  private void readAndApply(ReloadObserver observer) {
    try {
      Configuration configuration = ConfigurationReader.reread(System.getenv());
      BrokerConfiguration brokerConfiguration =
          BrokerConfigurationReader.read(System.getenv(), context.configuration().settings());
      context.loop().execute(() -> apply(configuration, brokerConfiguration, observer));
    } catch (ConfigurationException exception) {
      LOG.log(
          Level.WARNING,
          "Configuration reload failed, the previous configuration stays in force: "
              + exception.getMessage());
      observer.failed(exception.getMessage());
    }
  }

  private void apply(
      Configuration configuration,
      BrokerConfiguration brokerConfiguration,
      ReloadObserver observer) {
    LOG.log(Level.INFO, "Configuration reloaded");
    if (needsRestart(configuration)) {
      LOG.log(
          Level.WARNING,
          "Settings other than 'discovery' changed; they take effect at the next start");
    }
    discovery.moveTo(configuration.discovery());
    context.brokerConfiguration().replace(brokerConfiguration);
    observer.succeeded();
  }

  private boolean needsRestart(Configuration configuration) {
    Configuration initial = context.configuration();
    return !configuration.settings().equals(initial.settings())
        || !configuration.listen().equals(initial.listen())
        || !configuration.name().equals(initial.name())
        || configuration.maxSockets() != initial.maxSockets();
  }
}
