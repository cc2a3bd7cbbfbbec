package bitternpulley.trace;

import static org.junit.jupiter.api.Assertions.assertEquals;

import bitternpulley.broker.Event;
import bitternpulley.config.BrokerConfigurationReader;
import bitternpulley.config.SettingsReader;
import bitternpulley.config.StrictJson;
import bitternpulley.contracts.ContractSet;
import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Compares digests of every decision of the core and of the routing policy in seeded scenarios with
 * recorded digests. The settings, stored next to the digests, are those of the sites under
 * deploy/sites. Effects enter a digest in fixed words, so renaming or moving code does not change
 * it, but a changed decision does.
 *
 * <p>To record the digests after an intended change of decisions, copy the actual value of the
 * failing test to {@code src/test/resources/traces/decisions.txt}.
 */
class DecisionTraceTest {
  private static final Path TRACES = Path.of("src/test/resources/traces");
  private static final double DURATION_MS = 20_000;
  private static final List<String> SITES =
      List.of("quetta-desk", "sialkot-depots", "sukkur-ledger", "multan-rolls");
  private static final long[] SEEDS = {1, 2};

  /**
   * The load and the events of a simulation. Each recorded digest is preceded by the name of its
   * constant.
   */
  enum Scenario {
    CALM {
      @Override
      void prepare(TraceSimulation simulation, Scenario.SiteContracts site) {
        simulation.generateLoad(40, endTime(), 6, List.of());
      }
    },
    FAULTS {
      @Override
      void prepare(TraceSimulation simulation, Scenario.SiteContracts site) {
        simulation.generateLoad(25, endTime(), 6, List.of());
        TraceServers.Behaviour[] behaviours = TraceServers.Behaviour.values();
        for (int i = 1; i < behaviours.length; i++) {
          TraceServers.Behaviour behaviour = behaviours[i];
          int server = i;
          simulation.schedule(
              TraceSimulation.BEGIN + 2000 * i,
              () -> simulation.servers.setBehaviour(server, behaviour));
          simulation.schedule(
              TraceSimulation.BEGIN + 2000 * i + 4500,
              () -> simulation.servers.setBehaviour(server, TraceServers.Behaviour.HEALTHY));
        }
      }
    },
    OVERLOAD {
      @Override
      void prepare(TraceSimulation simulation, Scenario.SiteContracts site) {
        simulation.generateLoad(12, endTime(), 6, List.of());
        simulation.schedule(
            TraceSimulation.BEGIN + 4000,
            () -> simulation.generateLoad(5, TraceSimulation.BEGIN + 12_000, 6, List.of()));
      }
    },
    MANY_PARTS {
      @Override
      void prepare(TraceSimulation simulation, Scenario.SiteContracts site) {
        simulation.generateLoad(120, endTime(), 30, List.of());
        simulation.schedule(
            TraceSimulation.BEGIN + 5000,
            () -> simulation.servers.setBehaviour(4, TraceServers.Behaviour.UNRESPONSIVE));
        simulation.schedule(
            TraceSimulation.BEGIN + 9000,
            () -> simulation.servers.setBehaviour(4, TraceServers.Behaviour.HEALTHY));
      }
    },
    ROLLING_RESTART {
      @Override
      void prepare(TraceSimulation simulation, Scenario.SiteContracts site) {
        simulation.generateLoad(25, endTime(), 6, List.of());
        simulation.schedule(TraceSimulation.BEGIN + 900, simulation::sendFailedEndpointList);
        simulation.schedule(
            TraceSimulation.BEGIN + 1500,
            () ->
                simulation.submitToAll(
                    new Event.HotRestartRoleChanged(Router.HotRestartRole.PREDECESSOR)));
        simulation.schedule(
            TraceSimulation.BEGIN + 6000,
            () ->
                simulation.submitToAll(
                    new Event.HotRestartRoleChanged(Router.HotRestartRole.NONE)));
        simulation.schedule(
            TraceSimulation.BEGIN + 17_000,
            () ->
                simulation.submitToAll(
                    new Event.HotRestartRoleChanged(Router.HotRestartRole.SUCCESSOR)));
        for (int i = 0; i < 8; i++) {
          int server = i;
          double drainAt = TraceSimulation.BEGIN + 2000 + 1500 * i;
          simulation.schedule(drainAt, () -> changeState(simulation, server, "DRAINING"));
          simulation.schedule(drainAt + 500, () -> changeState(simulation, server, "GONE"));
          simulation.schedule(
              drainAt + 1200,
              () -> {
                simulation.servers.restart(server, simulation.now);
                simulation.sendEndpointList(Router.EndpointListKind.CHANGES, server);
              });
        }
        simulation.schedule(
            TraceSimulation.BEGIN + 15_000,
            () ->
                simulation.sendEndpointList(
                    Router.EndpointListKind.COMPLETE, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10));
      }
    },
    OPERATOR_COMMANDS {
      @Override
      void prepare(TraceSimulation simulation, Scenario.SiteContracts site) {
        simulation.generateLoad(25, endTime(), 6, List.of());
        simulation.schedule(
            TraceSimulation.BEGIN + 3000, () -> simulation.sendOperatorCommand(0, "s2", true));
        simulation.schedule(
            TraceSimulation.BEGIN + 4000, () -> simulation.sendOperatorCommand(1, "s99", true));
        simulation.schedule(
            TraceSimulation.BEGIN + 5000, () -> simulation.sendOperatorCommand(1, "s5", true));
        simulation.schedule(
            TraceSimulation.BEGIN + 8000, () -> simulation.sendOperatorCommand(0, "s2", false));
        simulation.schedule(
            TraceSimulation.BEGIN + 9000, () -> simulation.sendOperatorCommand(0, null, true));
        simulation.schedule(
            TraceSimulation.BEGIN + 9500, () -> simulation.sendOperatorCommand(0, null, false));
        simulation.schedule(
            TraceSimulation.BEGIN + 12_000, () -> simulation.sendOperatorCommand(0, "s5", false));
      }
    },
    CONTRACTS {
      @Override
      void prepare(TraceSimulation simulation, Scenario.SiteContracts site) {
        simulation.activateContracts(site.contracts());
        simulation.generateLoad(18, endTime(), 6, site.teams());
        simulation.schedule(
            TraceSimulation.BEGIN + 4000,
            () -> simulation.generateLoad(6, TraceSimulation.BEGIN + 10_000, 6, site.teams()));
        simulation.schedule(
            TraceSimulation.BEGIN + 12_000,
            () -> simulation.activateContracts(site.contracts().withVersion(2)));
        simulation.schedule(
            TraceSimulation.BEGIN + 16_000, () -> simulation.activateContracts(ContractSet.NONE));
      }
    },
    LEASES {
      @Override
      void prepare(TraceSimulation simulation, Scenario.SiteContracts site) {
        simulation.startMembershipAndLeases();
        simulation.generateLoad(25, endTime(), 6, List.of());
        for (int i = 0; i < 6; i++) {
          int server = i;
          simulation.schedule(
              TraceSimulation.BEGIN + 3000 + 2000 * i,
              () -> {
                simulation.servers.restart(server, simulation.now);
                simulation.sendEndpointList(Router.EndpointListKind.CHANGES, server);
              });
        }
        simulation.schedule(
            TraceSimulation.BEGIN + 18_000,
            () -> simulation.submitToAll(new Event.MembershipLeaveRequested()));
      }
    };

    /** The contracts of a site and the teams that its load uses. */
    record SiteContracts(ContractSet contracts, List<String> teams) {}

    abstract void prepare(TraceSimulation simulation, SiteContracts site);

    private static double endTime() {
      return TraceSimulation.BEGIN + DURATION_MS;
    }

    private static void changeState(TraceSimulation simulation, int server, String state) {
      simulation.servers.setState(server, state);
      simulation.sendEndpointList(Router.EndpointListKind.CHANGES, server);
    }
  }

  static Settings settings(String site, int self) {
    try {
      JsonNode json = StrictJson.read(Files.readAllBytes(TRACES.resolve(site + ".json")));
      ((ObjectNode) json).put("selfIndex", self);
      ((ObjectNode) json).put("zone", self % 2);
      return SettingsReader.read(json);
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  /** The recorded digests with names that begin with {@code prefix}. */
  static List<String> recorded(String file, String prefix) throws IOException {
    return Files.readAllLines(TRACES.resolve(file)).stream()
        .filter(line -> line.startsWith(prefix))
        .toList();
  }

  @ParameterizedTest
  @EnumSource(Scenario.class)
  void decisionsMatchRecordedDigests(Scenario scenario) throws IOException {
    List<String> actual = new ArrayList<>();
    for (String site : SITES) {
      for (long seed : SEEDS) {
        TraceSimulation simulation = new TraceSimulation(self -> settings(site, self), seed);
        scenario.prepare(simulation, contractsOf(site));
        actual.add(
            scenario
                + " "
                + site
                + " "
                + seed
                + " "
                + simulation.run(TraceSimulation.BEGIN + DURATION_MS + 10_000));
      }
    }
    assertEquals(
        String.join("\n", recorded("decisions.txt", scenario + " ")), String.join("\n", actual));
  }

  /** Guards against decisions that depend on anything but the events and the seed. */
  @Test
  void sameSeedGivesSameDigest() {
    List<String> actual = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      TraceSimulation simulation = new TraceSimulation(self -> settings("sialkot-depots", self), 3);
      Scenario.FAULTS.prepare(simulation, contractsOf("sialkot-depots"));
      actual.add(simulation.run(TraceSimulation.BEGIN + DURATION_MS));
    }
    assertEquals(actual.get(0), actual.get(1));
  }

  private static Scenario.SiteContracts contractsOf(String site) {
    if (!site.equals("quetta-desk")) {
      return new Scenario.SiteContracts(ContractSet.NONE, List.of());
    }
    return new Scenario.SiteContracts(
        BrokerConfigurationReader.read(TRACES.resolve("teams.star"), Optional.of(settings(site, 0)))
            .contracts(),
        List.of("desk", "desk", "sums"));
  }
}
