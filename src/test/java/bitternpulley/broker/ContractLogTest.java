package bitternpulley.broker;

import static org.testng.Assert.assertEquals;

import bitternpulley.contracts.AdmissionControl;
import bitternpulley.contracts.AdmissionDecision;
import bitternpulley.contracts.AdmissionRequest;
import bitternpulley.contracts.Contract;
import bitternpulley.contracts.ContractSet;
import bitternpulley.contracts.UsageCharge;
import bitternpulley.routing.Router;
import java.util.Map;
import org.testng.annotations.Test;

/** Tests that contract log lines keep their format, since operators' tools parse them. */
public class ContractLogTest {
  private static AdmissionControl control() {
    Contract contract =
        new Contract(
            "team-a",
            0.5,
            1,
            500,
            true,
            true,
            0.2,
            1,
            4,
            Map.of(0, new Router.ClassTerms(500, 1500, 1, 1)));
    AdmissionControl control = new AdmissionControl(new double[] {500, 500}, 2000);
    control.apply(new ContractSet(3, Map.of("team-a", contract), null), 0);
    return control;
  }

  private static AdmissionRequest request(String team, int queryClass, int parts) {
    return new AdmissionRequest(team, queryClass, parts, 0, false, 0);
  }

  @Test
  public void logsAnAdmissionWithItsBasis() {
    AdmissionDecision decision = control().admit(request("team-a", 0, 2), 1);
    assertEquals(
        ContractLog.admissionDecided(new Effect.AdmissionDecided(7, decision)),
        "contract request=7 team=team-a version=3 verdict=admitted basis=UNLIMITED booked=2.00");
    assertEquals(
        ContractLog.chargeSettled(new Effect.ChargeSettled((UsageCharge) decision)),
        "contract settled team=team-a version=3 booked=2.00 used=0.00");
  }

  @Test
  public void logsARejectionWithItsLimit() {
    AdmissionControl control = control();
    assertEquals(
        ContractLog.admissionDecided(
            new Effect.AdmissionDecided(8, control.admit(request("team-a", 1, 1), 1))),
        "contract request=8 team=team-a version=3 verdict=refused limit=class pause_ms=0");
    assertEquals(
        ContractLog.admissionDecided(
            new Effect.AdmissionDecided(9, control.admit(request("other", 0, 1), 1))),
        "contract request=9 team=other version=3 verdict=refused limit=no contract pause_ms=0");
    assertEquals(
        ContractLog.admissionDecided(
            new Effect.AdmissionDecided(10, control.admit(request("team-a", 0, 9), 1))),
        "contract request=10 team=team-a version=3 verdict=refused limit=holds pause_ms=0");
  }
}
