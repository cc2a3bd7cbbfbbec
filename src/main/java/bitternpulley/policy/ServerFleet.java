package bitternpulley.policy;

import bitternpulley.health.CoreEstimate;
import bitternpulley.health.SlowStartBudget;
import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** The known servers, by id and by cell. */
final class ServerFleet {
  private final Settings settings;
  private final Settings.Layout layout;
  private final Random random;
  private final CoreEstimate cores = new CoreEstimate();
  private final Map<String, TrackedServer> serversById = new LinkedHashMap<>();
  private final Collection<TrackedServer> serversView =
      Collections.unmodifiableCollection(serversById.values());
  private final List<List<TrackedServer>> serversByCell = new ArrayList<>();
  private Router.QuotaShare quota = Router.QuotaShare.EVEN;

  ServerFleet(Settings settings, Random random) {
    this.settings = settings;
    this.layout = settings.layout();
    this.random = random;
    for (int cell = 0; cell < layout.cells(); cell++) {
      serversByCell.add(new ArrayList<>());
    }
  }

  /** All servers, in the order in which they became known. */
  Collection<TrackedServer> servers() {
    return serversView;
  }

  /** The estimated number of cores of a server, which is the same for all servers. */
  CoreEstimate cores() {
    return cores;
  }

  /** Sets this instance's quota of the work that all instances together may send. */
  void useQuota(Router.QuotaShare newQuota) {
    quota = newQuota;
  }

  /** Applies an entry of the endpoint list, and returns its server. */
  TrackedServer update(Router.Endpoint endpoint) {
    TrackedServer server = serversById.get(endpoint.server());
    if (server == null) {
      server = add(endpoint);
    }
    server.update(endpoint);
    return server;
  }

  private TrackedServer add(Router.Endpoint endpoint) {
    double tieBreaker = random.nextDouble() + (endpoint.zone() == settings.zone() ? 0 : 1);
    SlowStartBudget slowStart = new SlowStartBudget(settings, now -> quota.multipleAt(now), cores);
    TrackedServer server =
        new TrackedServer(endpoint.server(), endpoint.zone(), tieBreaker, slowStart);
    serversById.put(endpoint.server(), server);
    serversByCell.get(Math.floorMod(endpoint.cell(), serversByCell.size())).add(server);
    return server;
  }

  /** Marks every server as gone that is absent from a complete endpoint list. */
  void markGoneExcept(Set<String> listedIds) {
    for (TrackedServer server : serversById.values()) {
      if (!listedIds.contains(server.id())) {
        server.markGone();
      }
    }
  }

  /** Removes the servers that are gone and have no attempt in flight. */
  void prune() {
    for (List<TrackedServer> cell : serversByCell) {
      cell.removeIf(server -> server.isRemovable() && serversById.remove(server.id()) != null);
    }
  }

  /** The servers that hold a replica of a shard, in the order of their cells. */
  List<TrackedServer> serversForShard(int shard) {
    List<TrackedServer> servers = new ArrayList<>();
    for (int replica = 0; replica < layout.replicas(); replica++) {
      servers.addAll(serversByCell.get(Math.floorMod(shard + replica, layout.cells())));
    }
    return servers;
  }
}
