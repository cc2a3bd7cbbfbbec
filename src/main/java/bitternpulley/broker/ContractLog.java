package bitternpulley.broker;

import bitternpulley.contracts.AdmissionDecision;
import bitternpulley.contracts.UsageCharge;
import java.util.Locale;

/**
 * Formats the contract log lines for admission decisions and settled charges. Operators' tools
 * parse these lines, so their format must not change.
 */
final class ContractLog {
  private ContractLog() {}

  static String admissionDecided(Effect.AdmissionDecided effect) {
    return effect.decision() instanceof AdmissionDecision.Rejected rejected
        ? rejected(effect.requestId(), rejected)
        : admitted(effect.requestId(), (UsageCharge) effect.decision());
  }

  private static String rejected(long requestId, AdmissionDecision.Rejected decision) {
    return String.format(
        Locale.ROOT,
        "contract request=%d team=%s version=%d verdict=refused limit=%s pause_ms=%.0f",
        requestId,
        decision.team(),
        decision.version(),
        decision.limit().text(),
        decision.retryAfter());
  }

  private static String admitted(long requestId, UsageCharge charge) {
    return String.format(
        Locale.ROOT,
        "contract request=%d team=%s version=%d verdict=admitted basis=%s booked=%.2f",
        requestId,
        charge.team(),
        charge.version(),
        charge.basis(),
        charge.estimatedWork());
  }

  static String chargeSettled(Effect.ChargeSettled effect) {
    UsageCharge charge = effect.charge();
    return String.format(
        Locale.ROOT,
        "contract settled team=%s version=%d booked=%.2f used=%.2f",
        charge.team(),
        charge.version(),
        charge.estimatedWork(),
        charge.measuredWork());
  }
}
