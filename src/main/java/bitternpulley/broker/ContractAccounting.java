package bitternpulley.broker;

import bitternpulley.contracts.AccountView;
import bitternpulley.contracts.AdmissionControl;
import bitternpulley.contracts.AdmissionDecision;
import bitternpulley.contracts.AdmissionRequest;
import bitternpulley.contracts.ContractBook;
import bitternpulley.contracts.UsageCharge;
import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import java.util.List;

/**
 * The core's side of contracts: it hands requests, attempts and ends on to {@link
 * AdmissionControl}, and is nothing at all where no contracts are in force.
 */
public final class ContractAccounting {
  private final Settings settings;

  /**
   * Null until the first contracts are put in force: guards against a start that pays for what is
   * off.
   */
  private AdmissionControl control;

  ContractAccounting(Settings settings) {
    this.settings = settings;
  }

  boolean isActive() {
    return control != null && control.isActive();
  }

  void apply(ContractBook book, double now) {
    if (control == null && book.isEmpty()) {
      return;
    }
    if (control == null) {
      double mostPause =
          settings.limits().retryAfterAllowed() ? settings.limits().maxRetryAfter() : 0;
      control =
          new AdmissionControl(
              settings.classes().stream().mapToDouble(c -> c.latencyObjective()).toArray(),
              mostPause);
    }
    control.apply(book, now);
  }

  AdmissionDecision admit(Request r, double now) {
    double work = r.parts().stream().mapToDouble(Request.QueryPart::estimatedWork).sum();
    return control.admit(
        new AdmissionRequest(
            r.team(), r.queryClass(), r.parts().size(), work, r.retry(), r.fingerprint()),
        now);
  }

  /** Whether an attempt may go out; one beyond the first is taken from the team's budget. */
  boolean maySend(UsageCharge charge, int number) {
    if (charge == null) {
      return true;
    }
    boolean may = number == 0 || control.allowRetry(charge);
    if (may) {
      control.onAttemptSent(charge);
    }
    return may;
  }

  void attemptEnded(
      UsageCharge charge, Router.Outcome outcome, double took, double now, List<Effect> effects) {
    if (charge != null) {
      control.onAttemptEnded(charge, outcome, took, now);
      settled(charge, effects);
    }
  }

  void requestEnded(UsageCharge charge, boolean served, double now, List<Effect> effects) {
    if (charge != null) {
      control.onRequestEnded(charge, served, now);
      settled(charge, effects);
    }
  }

  private static void settled(UsageCharge charge, List<Effect> effects) {
    if (charge.settled()) {
      effects.add(new Effect.ChargeSettled(charge));
    }
  }

  /** How each account that was used stands. */
  public List<AccountView> views(double now) {
    return control == null ? List.of() : control.accounts(now);
  }

  /**
   * Standard parts a second that this aggregator is reckoned to do; infinite while nothing is
   * scarce.
   */
  public double capacity() {
    return control == null ? Double.POSITIVE_INFINITY : control.capacity();
  }

  /** Standard parts a second that were delivered of late. */
  public double delivered() {
    return control == null ? 0 : control.deliveredRate();
  }
}
