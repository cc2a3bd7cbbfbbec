package bitternpulley.aggregator;

import bitternpulley.admin.ReloadObserver;
import bitternpulley.admin.ServiceControl;

/** Carries out for the admin endpoint what concerns the process as a whole. */
final class AdministeredService implements ServiceControl {
  private final ServiceContext context;
  private final ServiceState state;
  private final Fronts fronts;
  private final ConfigurationReload reload;

  AdministeredService(
      ServiceContext context, ServiceState state, Fronts fronts, ConfigurationReload reload) {
    this.state = state;
    this.fronts = fronts;
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
    fronts.setQuiesced(quiesced);
  }

  @Override
  public void reload(ReloadObserver observer) {
    reload.start(observer);
  }
}
