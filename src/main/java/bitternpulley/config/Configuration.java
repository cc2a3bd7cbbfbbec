package bitternpulley.config;

import bitternpulley.leases.LeaseTerms;
import bitternpulley.net.HostPort;
import bitternpulley.routing.Settings;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * The checked configuration of one aggregator.
 *
 * @param name the aggregator's name
 * @param listen the address for clients
 * @param discovery the address of the discovery service
 * @param seed of the routing policy's random numbers
 * @param sockets the most sockets that the program may open
 * @param lastEndpoints the endpoint list last known before the start
 * @param settings the start settings
 * @param connections settings of the connections to slot servers
 * @param zones the names of the zones, in the order of their numbers
 * @param operations what operators need
 * @param peers the other aggregators, if they are configured
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

  /** The most aggregators that membership is designed for. */
  private static final int MAX_PEERS = 2048;

  /**
   * The addresses for datagrams between aggregators.
   *
   * @param listen where this aggregator receives them
   * @param all where each aggregator receives them, in the order of their numbers
   */
  public record Peers(HostPort listen, List<HostPort> all) {}

  /**
   * Checks that membership can run.
   *
   * @throws ConfigurationException if peers are missing or contradict the settings
   */
  public void checkPeers() {
    if (peers.isEmpty()) {
      throw ConfigurationException.ofKey(
          "peer_listen",
          "membership() needs 'peer_listen' and 'peers', and 'peer_listen' is missing");
    }
    int count = peers.get().all().size();
    if (count <= settings.self() || count > MAX_PEERS) {
      throw ConfigurationException.ofKey(
          "peers",
          "'peers' names "
              + count
              + " aggregators, of which this one is number "
              + settings.self()
              + "; at most "
              + MAX_PEERS
              + " can be named");
    }
  }

  /**
   * The terms of the leases that the operators' script configures.
   *
   * @throws ConfigurationException if they do not fit the settings
   */
  public LeaseTerms leaseTerms(LeaseConfiguration leases) {
    return leases.terms(peers.orElseThrow().all().size(), settings);
  }

  /**
   * What operators need.
   *
   * @param admin the address of the admin endpoint, if there is one
   * @param stateDirectory the folder that outlives the process, if there is one
   * @param passedSocket whether the listening socket is passed as file descriptor 0
   */
  public record Operations(
      Optional<HostPort> admin, Optional<Path> stateDirectory, boolean passedSocket) {}

  /**
   * Settings of the connections to slot servers.
   *
   * @param callsPerConnection the most concurrent calls on one connection
   * @param keepalive ms after which a server closes an idle connection
   * @param handshakesCostly whether new connections have a cost
   */
  public record ConnectionSettings(
      int callsPerConnection, double keepalive, boolean handshakesCostly) {
    /**
     * Share of the servers' idle time after which the aggregator closes a connection, so that no
     * call meets a connection that its server is closing.
     */
    private static final double IDLE_SHARE = 0.8;

    /** Ms after which the aggregator closes an idle connection. */
    public double idleTimeout() {
      return keepalive * IDLE_SHARE;
    }
  }
}
