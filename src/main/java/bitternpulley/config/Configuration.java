package bitternpulley.config;

import bitternpulley.leases.LeaseTerms;
import bitternpulley.net.HostPort;
import bitternpulley.routing.Settings;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * All that one aggregator is told at its start, checked. {@code lastEndpoints} is the list it last
 * held.
 */
public record Configuration(
    String name,
    HostPort listen,
    HostPort discovery,
    long seed,
    int sockets,
    EndpointList lastEndpoints,
    Settings settings,
    ConnectionSettings connections,
    List<String> zones,
    Operations operations,
    Optional<Peers> peers) {

  /** Aggregators that membership bears. */
  private static final int MOST_PEERS = 2048;

  /**
   * Where other aggregators' datagrams arrive, and where each of them is told something, in the
   * order of their numbers.
   */
  public record Peers(HostPort listen, List<HostPort> all) {}

  /**
   * Throws ConfigException where membership is to run and what it needs is missing or contradicts
   * the settings.
   */
  public void checkPeers() {
    if (peers.isEmpty()) {
      throw new ConfigurationException(
          "membership() needs 'peer_listen' and 'peers', and 'peer_listen' is missing");
    }
    int count = peers.get().all().size();
    if (count <= settings.self() || count > MOST_PEERS) {
      throw new ConfigurationException(
          "'peers' names "
              + count
              + " aggregators, of which this one is number "
              + settings.self()
              + "; at most "
              + MOST_PEERS
              + " can be named");
    }
  }

  /**
   * The terms of the leases that the operators' script has; throws ConfigException where they do
   * not fit the settings.
   */
  public LeaseTerms leaseTerms(LeaseConfiguration leases) {
    return leases.terms(peers.orElseThrow().all().size(), settings);
  }

  /**
   * Where operators call, and the folder that outlives the process; each may be missing. And
   * whether clients come by a listening socket that is passed as descriptor 0.
   */
  public record Operations(Optional<HostPort> admin, Optional<Path> folder, boolean passedSocket) {}

  /**
   * Figures of the wire to the slot servers: calls a connection, ms after which an idle one is
   * closed there, and whether new ones are charged for.
   */
  public record ConnectionSettings(
      int callsPerConnection, double keepalive, boolean handshakesCostly) {
    /**
     * Share of the servers' idle time after which we close a connection first, so that no call
     * meets their close.
     */
    private static final double IDLE_SHARE = 0.8;

    /** Ms after which an idle connection is closed from here. */
    public double idleTimeout() {
      return keepalive * IDLE_SHARE;
    }
  }
}
