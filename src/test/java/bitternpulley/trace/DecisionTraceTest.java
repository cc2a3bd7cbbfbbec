package bitternpulley.trace;

import static org.junit.jupiter.api.Assertions.assertEquals;

import bitternpulley.broker.Event;
import bitternpulley.config.BrokerConfigurationReader;
import bitternpulley.config.SettingsReader;
import bitternpulley.config.StrictJson;
import bitternpulley.contracts.ContractBook;
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
 * Every decision of the core and of the routing policy over seeded days, on the settings of the
 * sites under deploy/sites. The digests are of effects in neutral words: a rename or a move leaves
 * them, a changed decision does not.
 *
 * <p>To record a digest after a change of decisions that is meant, copy what the failing test saw
 * into {@code src/test/resources/traces/decisions.txt}.
 */
class DecisionTraceTest {
  private static final Path FOLDER = Path.of("src/test/resources/traces");
  private static final double LENGTH_MS = 20_000;
  private static final List<String> SITES =
      List.of("quetta-desk", "sialkot-depots", "sukkur-ledger", "multan-rolls");
  private static final long[] SEEDS = {1, 2};

  /** What happens on a day. */
  enum Day {
    CALM {
      @Override
      void plan(TraceWorld world, Day.Site site) {
        world.load(40, end(), 6, List.of());
      }
    },
    FAULTS {
      @Override
      void plan(TraceWorld world, Day.Site site) {
        world.load(25, end(), 6, List.of());
        TraceServers.Behaviour[] all = TraceServers.Behaviour.values();
        for (int i = 1; i < all.length; i++) {
          TraceServers.Behaviour behaviour = all[i];
          int server = i;
          world.at(TraceWorld.BEGIN + 2000 * i, () -> world.servers.behave(server, behaviour));
          world.at(
              TraceWorld.BEGIN + 2000 * i + 4500,
              () -> world.servers.behave(server, TraceServers.Behaviour.SOUND));
        }
      }
    },
    OVERLOAD {
      @Override
      void plan(TraceWorld world, Day.Site site) {
        world.load(12, end(), 6, List.of());
        world.at(
            TraceWorld.BEGIN + 4000, () -> world.load(5, TraceWorld.BEGIN + 12_000, 6, List.of()));
      }
    },
    MANY_PARTS {
      @Override
      void plan(TraceWorld world, Day.Site site) {
        world.load(120, end(), 30, List.of());
        world.at(
            TraceWorld.BEGIN + 5000, () -> world.servers.behave(4, TraceServers.Behaviour.HANGS));
        world.at(
            TraceWorld.BEGIN + 9000, () -> world.servers.behave(4, TraceServers.Behaviour.SOUND));
      }
    },
    ROLLING_RESTART {
      @Override
      void plan(TraceWorld world, Day.Site site) {
        world.load(25, end(), 6, List.of());
        world.at(TraceWorld.BEGIN + 900, world::failedList);
        world.at(
            TraceWorld.BEGIN + 1500,
            () ->
                world.everywhere(
                    new Event.HotRestartRoleChanged(Router.HotRestartRole.PREDECESSOR)));
        world.at(
            TraceWorld.BEGIN + 6000,
            () -> world.everywhere(new Event.HotRestartRoleChanged(Router.HotRestartRole.NONE)));
        world.at(
            TraceWorld.BEGIN + 17_000,
            () ->
                world.everywhere(new Event.HotRestartRoleChanged(Router.HotRestartRole.SUCCESSOR)));
        for (int i = 0; i < 8; i++) {
          int server = i;
          double at = TraceWorld.BEGIN + 2000 + 1500 * i;
          world.at(at, () -> change(world, server, "DRAINING"));
          world.at(at + 500, () -> change(world, server, "GONE"));
          world.at(
              at + 1200,
              () -> {
                world.servers.restart(server, world.now);
                world.list(Router.ListKind.CHANGES, server);
              });
        }
        world.at(
            TraceWorld.BEGIN + 15_000,
            () -> world.list(Router.ListKind.COMPLETE, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10));
      }
    },
    OPERATOR_COMMANDS {
      @Override
      void plan(TraceWorld world, Day.Site site) {
        world.load(25, end(), 6, List.of());
        world.at(TraceWorld.BEGIN + 3000, () -> world.order(0, "s2", true));
        world.at(TraceWorld.BEGIN + 4000, () -> world.order(1, "s99", true));
        world.at(TraceWorld.BEGIN + 5000, () -> world.order(1, "s5", true));
        world.at(TraceWorld.BEGIN + 8000, () -> world.order(0, "s2", false));
        world.at(TraceWorld.BEGIN + 9000, () -> world.order(0, null, true));
        world.at(TraceWorld.BEGIN + 9500, () -> world.order(0, null, false));
        world.at(TraceWorld.BEGIN + 12_000, () -> world.order(0, "s5", false));
      }
    },
    CONTRACTS {
      @Override
      void plan(TraceWorld world, Day.Site site) {
        world.contracts(site.book());
        world.load(18, end(), 6, site.teams());
        world.at(
            TraceWorld.BEGIN + 4000,
            () -> world.load(6, TraceWorld.BEGIN + 10_000, 6, site.teams()));
        world.at(TraceWorld.BEGIN + 12_000, () -> world.contracts(site.book().withVersion(2)));
        world.at(TraceWorld.BEGIN + 16_000, () -> world.contracts(ContractBook.NONE));
      }
    },
    LEASES {
      @Override
      void plan(TraceWorld world, Day.Site site) {
        world.peers();
        world.load(25, end(), 6, List.of());
        for (int i = 0; i < 6; i++) {
          int server = i;
          world.at(
              TraceWorld.BEGIN + 3000 + 2000 * i,
              () -> {
                world.servers.restart(server, world.now);
                world.list(Router.ListKind.CHANGES, server);
              });
        }
        world.at(
            TraceWorld.BEGIN + 18_000,
            () -> world.everywhere(new Event.MembershipLeaveRequested()));
      }
    };

    /** The contracts of a site. */
    record Site(ContractBook book, List<String> teams) {}

    abstract void plan(TraceWorld world, Site site);

    private static double end() {
      return TraceWorld.BEGIN + LENGTH_MS;
    }

    private static void change(TraceWorld world, int server, String state) {
      world.servers.state(server, state);
      world.list(Router.ListKind.CHANGES, server);
    }
  }

  static Settings settings(String site, int self) {
    try {
      JsonNode in = StrictJson.read(Files.readAllBytes(FOLDER.resolve(site + ".json")));
      ((ObjectNode) in).put("selfIndex", self);
      ((ObjectNode) in).put("zone", self % 2);
      return SettingsReader.read(in);
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  /** The recorded digests whose names begin so. */
  static List<String> recorded(String file, String beginning) throws IOException {
    return Files.readAllLines(FOLDER.resolve(file)).stream()
        .filter(l -> l.startsWith(beginning))
        .toList();
  }

  @ParameterizedTest
  @EnumSource(Day.class)
  void decidesAsRecorded(Day day) throws IOException {
    List<String> seen = new ArrayList<>();
    for (String site : SITES) {
      for (long seed : SEEDS) {
        TraceWorld world = new TraceWorld(self -> settings(site, self), seed);
        day.plan(world, contracts(site));
        seen.add(
            day + " " + site + " " + seed + " " + world.run(TraceWorld.BEGIN + LENGTH_MS + 10_000));
      }
    }
    assertEquals(String.join("\n", recorded("decisions.txt", day + " ")), String.join("\n", seen));
  }

  /** Two plays of one seed are alike: nothing but the seed decides. */
  @Test
  void aSeedIsPlayedTwiceAlike() {
    List<String> seen = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      TraceWorld world = new TraceWorld(self -> settings("sialkot-depots", self), 3);
      Day.FAULTS.plan(world, contracts("sialkot-depots"));
      seen.add(world.run(TraceWorld.BEGIN + LENGTH_MS));
    }
    assertEquals(seen.get(0), seen.get(1));
  }

  private static Day.Site contracts(String site) {
    if (!site.equals("quetta-desk")) {
      return new Day.Site(ContractBook.NONE, List.of());
    }
    return new Day.Site(
        BrokerConfigurationReader.read(FOLDER.resolve("teams.star"), Optional.of(settings(site, 0)))
            .contracts(),
        List.of("desk", "desk", "sums"));
  }
}
