package bitternpulley.broker;

import bitternpulley.contracts.AccountView;
import bitternpulley.contracts.AdmissionControl;
import bitternpulley.contracts.AdmissionDecision;
import bitternpulley.contracts.AdmissionRequest;
import bitternpulley.contracts.ContractSet;
import bitternpulley.contracts.UsageCharge;
import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import java.util.List;

/**
 * Reports requests, attempts and their ends to {@link AdmissionControl} and emits an effect for
 * each settled charge. The charge of a request that was accepted while no contracts were in force
 * is null; nothing is recorded for it. Amounts are in standard parts (docs/contracts.md).
 */
public final class ContractAccounting {
  private final Settings settings;
  private final ReductionContext context;

  /**
   * Null until the first contracts are in force, so that a start without contracts costs nothing.
   */
  private AdmissionControl control;

  ContractAccounting(Settings settings, ReductionContext context) {
    this.settings = settings;
    this.context = context;
  }

  /** Whether contracts are in force. */
  boolean isActive() {
    return control != null && control.isActive();
  }

  /** Puts contracts in force in place of the previous ones. */
  void activate(ContractSet contracts) {
    if (control == null && contracts.isEmpty()) {
      return;
    }
    if (control == null) {
      control = createControl();
    }
    control.apply(contracts, context.now());
  }

  private AdmissionControl createControl() {
    Settings.Limits limits = settings.limits();
    double maxRetryAfter = limits.retryAfterAllowed() ? limits.maxRetryAfter() : 0;
    double[] latencyObjectives =
        settings.classes().stream().mapToDouble(Settings.QueryClass::latencyObjective).toArray();
    return new AdmissionControl(latencyObjectives, maxRetryAfter);
  }

  /** Admits or rejects a request. May only be called while contracts are in force. */
  AdmissionDecision admit(Request request) {
    return control.admit(
        new AdmissionRequest(
            request.team(),
            request.queryClass(),
            request.parts().size(),
            request.estimatedWork(),
            request.retry(),
            request.fingerprint()),
        context.now());
  }

  /**
   * Whether an attempt may be sent; if so, the attempt is charged. Each attempt of a part after the
   * first counts against the retry budget of the team.
   *
   * @param number the attempt's number within its part, from 0
   */
  boolean allowAttempt(UsageCharge charge, int number) {
    if (charge == null) {
      return true;
    }
    boolean allowed = number == 0 || control.allowRetry(charge);
    if (allowed) {
      control.onAttemptSent(charge);
    }
    return allowed;
  }

  /** Charges an attempt that ended {@code elapsed} ms after it was sent. */
  void attemptEnded(UsageCharge charge, Router.Outcome outcome, double elapsed) {
    if (charge != null) {
      control.onAttemptEnded(charge, outcome, elapsed, context.now());
      reportIfSettled(charge);
    }
  }

  /** Records the end of a request and whether the request was answered. */
  void requestEnded(UsageCharge charge, boolean answered) {
    if (charge != null) {
      control.onRequestEnded(charge, answered, context.now());
      reportIfSettled(charge);
    }
  }

  private void reportIfSettled(UsageCharge charge) {
    if (charge.isSettled()) {
      context.emit(new Effect.ChargeSettled(charge));
    }
  }

  /** The accounts that have been used, as of {@code now} in ms. */
  public List<AccountView> accounts(double now) {
    return control == null ? List.of() : control.accounts(now);
  }

  /**
   * The estimated capacity available to this aggregator, in standard parts per second; infinite
   * while capacity is not scarce.
   */
  public double capacity() {
    return control == null ? Double.POSITIVE_INFINITY : control.capacity();
  }

  /** The recent delivery rate, in standard parts per second. */
  public double deliveredRate() {
    return control == null ? 0 : control.deliveredRate();
  }
}
