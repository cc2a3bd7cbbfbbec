package bitternpulley.aggregator;

import bitternpulley.broker.Broker;
import bitternpulley.broker.Event;
import bitternpulley.config.BrokerConfiguration;
import bitternpulley.contracts.TenantIdentification;
import java.lang.System.Logger.Level;

/** The active operators' script and the version of its contracts. Used only on the event loop. */
final class ActiveBrokerConfiguration {
  private static final System.Logger LOG =
      System.getLogger(ActiveBrokerConfiguration.class.getName());

  private final Broker broker;
  private BrokerConfiguration active;
  private int version = 1;

  ActiveBrokerConfiguration(Broker broker, BrokerConfiguration initial) {
    this.broker = broker;
    this.active = initial;
  }

  /** Returns how the tenant of a request is currently identified. */
  TenantIdentification tenantIdentification() {
    return active.tenantIdentification();
  }

  /** Whether the admin endpoint may currently list accounts. */
  boolean listsAccounts() {
    return active.listsAccounts();
  }

  /** Activates the contracts that the process was started with. */
  void activateInitial() {
    broker.submit(new Event.ContractsActivated(active.contracts()));
  }

  /**
   * Activates a changed script as the next version; an unchanged script has no effect. Queries in
   * flight complete under the contracts that admitted them.
   */
  void replace(BrokerConfiguration next) {
    if (next.document().equals(active.document())) {
      return;
    }
    if (!next.searchFrontendSettings().equals(active.searchFrontendSettings())) {
      LOG.log(
          Level.WARNING,
          "opensearch() of the operators' script changed; this takes effect at the next start");
    }
    active = next;
    version++;
    broker.submit(new Event.ContractsActivated(next.contracts().withVersion(version)));
    LOG.log(
        Level.INFO,
        "Contracts activated: version "
            + version
            + ", contracts: "
            + next.contracts().contracts().size());
  }
}
