package bitternpulley.contracts;

import static bitternpulley.contracts.SimulatedTeams.contract;
import static bitternpulley.contracts.SimulatedTeams.contractSet;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import bitternpulley.routing.Router;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests changes of contracts while queries are pending. First a quota changes, then the classes of
 * a team, then the set of teams.
 */
class ContractChangeTest {
  private final SimulatedTeams simulation = new SimulatedTeams(9, 1000);

  @BeforeEach
  void runSimulationWithContractChanges() {
    Contract appeal = contract("appeal", 0.2);
    Contract stock = contract("stock", 0.35);
    Contract bookingWithOtherClass =
        ContractBuilder.contract("booking")
            .guaranteedQuota(0.25)
            .clientRetries(1)
            .maxPending(1000)
            .queryClass(1, new Router.ClassTerms(300, 900, 1, 2))
            .build();
    simulation
        .control()
        .apply(contractSet(1, contract("appeal", 0.4), stock, contract("booking", 0.25)), 0);
    simulation.addTeam("appeal", 50, 4).honorRetryAfter();
    simulation.addTeam("stock", 9, 20);
    simulation.addTeam("booking", 120, 1);
    simulation.team("appeal").setQueriesPerSecond(400);
    simulation.runUntil(5000);
    simulation.applyAt(6000, contractSet(2, appeal, stock, contract("booking", 0.25)));
    simulation.applyAt(6080, contractSet(3, appeal, stock, bookingWithOtherClass));
    simulation.applyAt(8000, contractSet(4, appeal, bookingWithOtherClass));
    simulation.runUntil(12_000);
    simulation.teams().forEach(team -> team.setQueriesPerSecond(0));
    simulation.runUntil(20_000);
  }

  private boolean wasAdmittedSince(String team, int version) {
    return simulation.charges().stream()
        .anyMatch(charge -> charge.team().equals(team) && charge.version() >= version);
  }

  @Test
  void everyChargeIsSettled() {
    assertTrue(simulation.charges().stream().allMatch(UsageCharge::isSettled));
  }

  @Test
  void chargesKeepTheVersionThatAdmittedThem() {
    for (int version = 1; version <= 4; version++) {
      int expected = version;
      assertTrue(
          simulation.charges().stream().anyMatch(charge -> charge.version() == expected),
          "no query was admitted under version " + version);
    }
  }

  @Test
  void doesNotAdmitRemovedClass() {
    assertTrue(wasAdmittedSince("booking", 2));
    assertTrue(!wasAdmittedSince("booking", 3));
  }

  @Test
  void doesNotAdmitTeamWithoutContract() {
    assertTrue(wasAdmittedSince("stock", 3));
    assertTrue(!wasAdmittedSince("stock", 4));
  }

  @Test
  void accountsAreChargedMeasuredWork() {
    for (AccountView account : simulation.control().accounts(simulation.now())) {
      double measured =
          simulation.charges().stream()
              .filter(charge -> charge.team().equals(account.team()))
              .mapToDouble(UsageCharge::measuredWork)
              .sum();
      assertEquals(measured, account.used(), 1e-3 * Math.max(1, measured), account.team());
      assertEquals(0, account.pending(), account.team());
    }
  }
}
