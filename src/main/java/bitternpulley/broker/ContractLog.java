package bitternpulley.broker;

import bitternpulley.contracts.AdmissionDecision;
import bitternpulley.contracts.UsageCharge;
import java.util.Locale;

/** The lines on contracts: one when a request is judged, one when its charge is settled. */
final class ContractLog {
  private ContractLog() {}

  static String judged(Effect.AdmissionDecided e) {
    if (e.decision() instanceof AdmissionDecision.Rejected no) {
      return String.format(
          Locale.ROOT,
          "contract request=%d team=%s version=%d verdict=refused limit=%s pause_ms=%.0f",
          e.request(),
          no.team(),
          no.version(),
          no.limit().text(),
          no.retryAfter());
    }
    UsageCharge c = (UsageCharge) e.decision();
    return String.format(
        Locale.ROOT,
        "contract request=%d team=%s version=%d verdict=admitted basis=%s booked=%.2f",
        e.request(),
        c.team(),
        c.version(),
        c.basis(),
        c.booked());
  }

  static String settled(Effect.ChargeSettled e) {
    UsageCharge c = e.charge();
    return String.format(
        Locale.ROOT,
        "contract settled team=%s version=%d booked=%.2f used=%.2f",
        c.team(),
        c.version(),
        c.booked(),
        c.used());
  }
}
