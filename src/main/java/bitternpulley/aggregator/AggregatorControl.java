package bitternpulley.aggregator;

import bitternpulley.admin.ReloadObserver;
import bitternpulley.admin.ServiceControl;

/** Implements the admin commands that concern the whole process. */
final class AggregatorControl implements ServiceControl {
  private final ServiceContext context;
  private final ServiceState state;
  private final ClientHttpServers httpServers;
  private final ConfigurationReload reload;

  AggregatorControl(
      ServiceContext context,
      ServiceState state,
      ClientHttpServers httpServers,
      ConfigurationReload reload) {
    this.state = state;
    this.httpServers = httpServers;
    this.context = context;
    this.reload = reload;
  }

  @Override
  public boolean isServing() {
    return state.isServing();
  }

  @Override
  public boolean listsAccounts() {
    return context.brokerConfiguration().listsAccounts();
  }

  @Override
  public void setQuiesced(boolean quiesced) {
    state.setQuiesced(quiesced);
    httpServers.setQuiesced(quiesced);
  }

  @Override
  public void reload(ReloadObserver observer) {
    reload.start(observer);
  }
}
