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
 * @param listen the address that clients connect to
 * @param discovery the address of the discovery service
 * @param seed the seed of the routing policy's random numbers
 * @param maxSockets the maximum number of sockets that the process may open
 * @param lastEndpoints the last endpoint list known before the start
 * @param settings the start settings
 * @param connections the settings of connections to slot servers
 * @param zones the names of the zones, in the order of their numbers
 * @param processSettings the admin endpoint, the state directory and how the process is started
 * @param peers the other aggregators, if they are configured
 */
public record Configuration(
    String name,
    HostPort listen,
    HostPort discovery,
    long seed,
    int maxSockets,
    EndpointList lastEndpoints,
    Settings settings,
    ConnectionSettings connections,
    List<String> zones,
    ProcessSettings processSettings,
    Optional<Peers> peers) {

  /** The maximum number of aggregators that membership is designed for. */
  private static final int MAX_PEERS = 2048;

  /**
   * The addresses of aggregators for datagrams between them.
   *
   * @param listen the address on which this aggregator receives datagrams
   * @param addresses the address of each aggregator, in the order of their numbers
   */
  public record Peers(HostPort listen, List<HostPort> addresses) {}

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
    int count = peers.get().addresses().size();
    if (count <= settings.selfIndex() || count > MAX_PEERS) {
      throw ConfigurationException.ofKey(
          "peers",
          "'peers' lists "
              + count
              + " aggregators; it must list more than 'selfIndex', which is "
              + settings.selfIndex()
              + ", and at most "
              + MAX_PEERS);
    }
  }

  /**
   * Returns the terms of the leases that the operators' script configures.
   *
   * @throws ConfigurationException if the leases contradict the settings or the peers
   */
  public LeaseTerms leaseTerms(LeaseConfiguration leases) {
    return leases.terms(peers.orElseThrow().addresses().size(), settings);
  }

  /**
   * The admin endpoint, the state directory and how the process is started.
   *
   * @param admin the address of the admin endpoint, if there is one
   * @param stateDirectory the directory whose files outlive the process, if there is one
   * @param passedSocket whether the listening socket is passed as file descriptor 0
   */
  public record ProcessSettings(
      Optional<HostPort> admin, Optional<Path> stateDirectory, boolean passedSocket) {}

  /**
   * Settings of connections to slot servers.
   *
   * @param callsPerConnection the maximum number of concurrent calls on one connection
   * @param keepalive ms after which a server closes an idle connection
   * @param handshakesCostly whether the settings assign a cost to new connections
   */
  public record ConnectionSettings(
      int callsPerConnection, double keepalive, boolean handshakesCostly) {
    /**
     * Share of the servers' keep-alive time after which the aggregator closes an idle connection,
     * so that no call is sent on a connection that its server is closing.
     */
    private static final double IDLE_TIMEOUT_SHARE = 0.8;

    /** Ms after which the aggregator closes an idle connection. */
    public double idleTimeout() {
      return keepalive * IDLE_TIMEOUT_SHARE;
    }
  }
}
