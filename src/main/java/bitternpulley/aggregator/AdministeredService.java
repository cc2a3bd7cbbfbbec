package bitternpulley.aggregator;

import bitternpulley.admin.ReloadObserver;
import bitternpulley.admin.ServiceControl;

/** Carries out for the admin endpoint what concerns the process as a whole. */
final class AdministeredService implements ServiceControl {
  private final ServiceState state;
  private final Fronts fronts;
  private final ActiveBrokerConfiguration brokerConfiguration;
  private final ConfigurationReload reload;

  AdministeredService(
      ServiceState state,
      Fronts fronts,
      ActiveBrokerConfiguration brokerConfiguration,
      ConfigurationReload reload) {
    this.state = state;
    this.fronts = fronts;
    this.brokerConfiguration = brokerConfiguration;
    this.reload = reload;
  }

  @Override
  public boolean isServing() {
    return state.isServing();
  }

  @Override
  public boolean listsAccounts() {
    return brokerConfiguration.listsAccounts();
  }

  @Override
  public void setQuiesced(boolean quiesced) {
    state.setQuiesced(quiesced);
    fronts.setQuiesced(quiesced);
  }

  @Override
  public void reload(ReloadObserver observer) {
    reload.start(observer);
  }
}
