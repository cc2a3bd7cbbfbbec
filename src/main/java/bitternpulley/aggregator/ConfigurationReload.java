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
 * Reads the configuration again while the process serves. The operators' script and the address of
 * discovery take effect at once, all else at the next start; a configuration that cannot be used
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

  /** Reads on a thread of its own, since the loop must not wait for files. */
  void start(ReloadObserver observer) {
    new Thread(() -> readAndApply(observer), "reload").start();
  }

  private void readAndApply(ReloadObserver observer) {
    try {
      Configuration site = ConfigurationReader.reread(System.getenv());
      BrokerConfiguration broker =
          BrokerConfigurationReader.read(System.getenv(), context.site().settings());
      context.loop().execute(() -> apply(site, broker, observer));
    } catch (ConfigurationException exception) {
      LOG.log(
          Level.WARNING,
          "Configuration reload failed, the previous configuration stays in force: "
              + exception.getMessage());
      observer.failed(exception.getMessage());
    }
  }

  private void apply(Configuration site, BrokerConfiguration broker, ReloadObserver observer) {
    LOG.log(Level.INFO, "Configuration reloaded");
    if (needsRestart(site)) {
      LOG.log(
          Level.WARNING,
          "Settings other than 'discovery' changed; they take effect at the next start");
    }
    discovery.moveTo(site.discovery());
    context.brokerConfiguration().replace(broker);
    observer.succeeded();
  }

  private boolean needsRestart(Configuration site) {
    Configuration initial = context.site();
    return !site.settings().equals(initial.settings())
        || !site.listen().equals(initial.listen())
        || !site.name().equals(initial.name())
        || site.sockets() != initial.sockets();
  }
}
