package bitternpulley.platform;

import bitternpulley.net.EventLoop;
import bitternpulley.net.HostPort;
import java.io.UncheckedIOException;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The connections to all slot servers: selects one for each call, opens further connections within
 * the limits, and closes connections that are idle for too long.
 */
final class SlotConnectionPool {
  private static final System.Logger LOG = System.getLogger(SlotConnectionPool.class.getName());

  /** Maximum number of connections to one server. */
  private static final int MAX_PER_SERVER = 8;

  /** Time for which no further connection is opened to a server that refused one, in ms. */
  private static final double REFUSAL_PAUSE_MS = 1000;

  /** Interval between checks for idle connections, in ms; one check covers all connections. */
  private static final double IDLE_CHECK_INTERVAL_MS = 1000;

  /**
   * The limits of a pool.
   *
   * @param maxPartsPerConnection the maximum number of parts in flight on a connection
   * @param maxConnections the maximum number of open connections
   * @param callsBeforeNewConnection the number of calls in flight on each connection to a server at
   *     which another connection is opened
   */
  record Limits(int maxPartsPerConnection, int maxConnections, int callsBeforeNewConnection) {}

  private final EventLoop loop;
  private final SlotConnection.Timing timing;
  private final Limits limits;
  private final SlotConnectionOwner owner;
  private final Map<String, HostPort> addresses = new HashMap<>();
  private final Map<String, List<SlotConnection>> connections = new HashMap<>();

  /**
   * Time until which no further connection to a server is opened, in ms; only for known servers.
   */
  private final Map<String, Double> refusalPauseEnds = new HashMap<>();

  /** Number of connections that hold a descriptor. */
  private int openCount;

  /** Creates an empty pool; the owner receives the events of its connections. */
  SlotConnectionPool(
      EventLoop loop, SlotConnection.Timing timing, Limits limits, SlotConnectionOwner owner) {
    this.loop = loop;
    this.timing = timing;
    this.limits = limits;
    this.owner = owner;
    loop.repeat(
        IDLE_CHECK_INTERVAL_MS,
        () -> {
          closeUnneeded();
          return true;
        });
  }

  private void closeUnneeded() {
    for (List<SlotConnection> connectionsToServer : List.copyOf(connections.values())) {
      for (SlotConnection connection : List.copyOf(connectionsToServer)) {
        if (isUnneeded(connection)) {
          connection.close();
        }
      }
    }
  }

  private boolean isUnneeded(SlotConnection connection) {
    return connection.isIdleTooLong()
        || (connection.isIdle() && !addresses.containsKey(connection.server()));
  }

  /** Returns the address of a server, or null if it is not known. */
  HostPort address(String server) {
    return addresses.get(server);
  }

  /** Sets the address of a server. If the address changed, closes the server's idle connections. */
  void setAddress(String server, HostPort address) {
    HostPort before = addresses.put(server, address);
    if (before != null && !before.equals(address)) {
      closeIdle(server);
    }
  }

  /** Removes all state of a server, and closes its idle connections. */
  void removeServer(String server) {
    addresses.remove(server);
    refusalPauseEnds.remove(server);
    closeIdle(server);
  }

  /** Removes all servers but these. */
  void retainOnly(Set<String> servers) {
    for (String server : List.copyOf(addresses.keySet())) {
      if (!servers.contains(server)) {
        removeServer(server);
      }
    }
  }

  /** A copy of the connections to a server. */
  List<SlotConnection> connectionsTo(String server) {
    return List.copyOf(connections.getOrDefault(server, List.of()));
  }

  /** Opens a connection to a known server that has none, unless the limit is reached. */
  void openFirst(String server) {
    HostPort address = addresses.get(server);
    if (address != null
        && !connections.containsKey(server)
        && openCount < limits.maxConnections()) {
      open(server, address);
    }
  }

  /**
   * Returns the connection for a call of parts with these ids: the one with the fewest parts in
   * flight, or a new one if all are busy. Returns null if none has capacity and none can be opened.
   */
  SlotConnection connectionFor(String server, HostPort address, List<String> partIds) {
    closeIdleTooLong(server);
    List<SlotConnection> connectionsToServer = connections.getOrDefault(server, List.of());
    SlotConnection leastLoaded = leastLoaded(connectionsToServer, address, partIds);
    if (leastLoaded != null
        && (leastLoaded.callCount() < limits.callsBeforeNewConnection()
            || !mayOpenAnother(server, connectionsToServer.size()))) {
      return leastLoaded;
    }
    if (partIds.size() > limits.maxPartsPerConnection()) {
      return null;
    }
    if (openCount >= limits.maxConnections() && !closeLongestIdle()) {
      LOG.log(
          Level.WARNING, "No descriptor is left for another connection to slot server " + server);
      return null;
    }
    return open(server, address);
  }

  /**
   * A server closes connections that are idle for too long, possibly before the next idle check.
   * Closing them here first prevents a call from being sent while the server closes the connection.
   */
  private void closeIdleTooLong(String server) {
    for (SlotConnection connection : connectionsTo(server)) {
      if (connection.isIdleTooLong()) {
        connection.close();
      }
    }
  }

  private SlotConnection leastLoaded(
      List<SlotConnection> connectionsToServer, HostPort address, List<String> partIds) {
    SlotConnection leastLoaded = null;
    for (SlotConnection connection : connectionsToServer) {
      boolean hasCapacity =
          connection.partCount() + partIds.size() <= limits.maxPartsPerConnection();
      if (hasCapacity
          && (leastLoaded == null || connection.partCount() < leastLoaded.partCount())
          && connection.accepts(address, partIds)) {
        leastLoaded = connection;
      }
    }
    return leastLoaded;
  }

  private boolean mayOpenAnother(String server, int openToServer) {
    return openToServer < maxPerServer()
        && openCount < limits.maxConnections()
        && !isRefusing(server);
  }

  /**
   * Limits each server to an equal share of the connections, so that a few servers cannot take all
   * of them.
   */
  private int maxPerServer() {
    int equalShare = limits.maxConnections() / Math.max(1, addresses.size());
    return Math.max(1, Math.min(MAX_PER_SERVER, equalShare));
  }

  /** Opens a connection; returns null if no socket can be opened, which ends the attempt. */
  private SlotConnection open(String server, HostPort address) {
    try {
      SlotConnection opened = new SlotConnection(loop, timing, owner, server, address);
      openCount++;
      connections.computeIfAbsent(server, ignored -> new ArrayList<>()).add(opened);
      return opened;
    } catch (UncheckedIOException failure) {
      LOG.log(
          Level.WARNING,
          "Cannot open a socket to slot server "
              + server
              + " at "
              + address
              + ": "
              + failure.getMessage());
      return null;
    }
  }

  /** Closes the connection that has been idle for longest; returns false if none is idle. */
  private boolean closeLongestIdle() {
    Optional<SlotConnection> longestIdle =
        connections.values().stream()
            .flatMap(List::stream)
            .filter(SlotConnection::isIdle)
            .min(Comparator.comparingDouble(SlotConnection::idleSince));
    longestIdle.ifPresent(SlotConnection::close);
    return longestIdle.isPresent();
  }

  /** Closes the idle connections to a server. */
  void closeIdle(String server) {
    for (SlotConnection connection : connectionsTo(server)) {
      if (connection.isIdle()) {
        connection.close();
      }
    }
  }

  /** Whether a connection to a server is established. */
  boolean isConnectedTo(String server) {
    return connections.getOrDefault(server, List.of()).stream()
        .anyMatch(SlotConnection::isConnected);
  }

  /** Records that a running server refused a connection because it accepts no more for now. */
  void recordRefusal(String server) {
    refusalPauseEnds.put(server, timing.clock().now() + REFUSAL_PAUSE_MS);
  }

  private boolean isRefusing(String server) {
    return timing.clock().now() < refusalPauseEnds.getOrDefault(server, Double.NEGATIVE_INFINITY);
  }

  /** Removes a connection that takes no further calls. */
  void remove(SlotConnection connection) {
    List<SlotConnection> connectionsToServer = connections.get(connection.server());
    if (connectionsToServer != null
        && connectionsToServer.remove(connection)
        && connectionsToServer.isEmpty()) {
      connections.remove(connection.server());
    }
  }

  /** Counts the descriptor of a closed connection as free. */
  void releaseDescriptor() {
    openCount--;
  }
}
