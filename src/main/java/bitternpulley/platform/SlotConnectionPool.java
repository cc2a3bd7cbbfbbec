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
 * The connections to all slot servers: chooses one for each call, opens further ones within the
 * limits, and closes those that are idle for too long.
 */
final class SlotConnectionPool {
  private static final System.Logger LOG = System.getLogger(SlotConnectionPool.class.getName());

  /** The most connections to one server. */
  private static final int MAX_PER_SERVER = 8;

  /** How long no connection is tried at a server that accepts no more, in ms. */
  private static final double REFUSAL_PAUSE_MS = 1000;

  /** Ms between checks for idle connections; one check serves all connections. */
  private static final double IDLE_CHECK_INTERVAL_MS = 1000;

  /**
   * The limits of a pool.
   *
   * @param partsPerConnection the most parts in flight on a connection
   * @param connections the most connections at a time
   * @param callsBeforeNext the calls in flight on each connection to a server from which another is
   *     opened
   */
  record Limits(int partsPerConnection, int connections, int callsBeforeNext) {}

  private final EventLoop loop;
  private final SlotConnection.Timing timing;
  private final Limits limits;
  private final SlotConnectionOwner owner;
  private final Map<String, HostPort> addresses = new HashMap<>();
  private final Map<String, List<SlotConnection>> connections = new HashMap<>();

  /** Until when no further connection is tried at a server, in ms; only for known servers. */
  private final Map<String, Double> refusingUntil = new HashMap<>();

  /** Connections that hold a descriptor. */
  private int openCount;

  /** Creates an empty pool, whose connections report to this owner. */
  SlotConnectionPool(
      EventLoop loop, SlotConnection.Timing timing, Limits limits, SlotConnectionOwner owner) {
    this.loop = loop;
    this.timing = timing;
    this.limits = limits;
    this.owner = owner;
    scheduleIdleCheck();
  }

  private void scheduleIdleCheck() {
    loop.schedule(IDLE_CHECK_INTERVAL_MS, this::closeUnneeded);
  }

  private void closeUnneeded() {
    for (List<SlotConnection> ofServer : List.copyOf(connections.values())) {
      for (SlotConnection connection : List.copyOf(ofServer)) {
        if (isUnneeded(connection)) {
          connection.close();
        }
      }
    }
    scheduleIdleCheck();
  }

  private boolean isUnneeded(SlotConnection connection) {
    return connection.isIdleTooLong()
        || (connection.isIdle() && !addresses.containsKey(connection.server()));
  }

  /** The address of a server; null where it is not known. */
  HostPort address(String server) {
    return addresses.get(server);
  }

  /** Sets the address of a server. After a change its idle connections are closed. */
  void setAddress(String server, HostPort address) {
    HostPort before = addresses.put(server, address);
    if (before != null && !before.equals(address)) {
      closeIdle(server);
    }
  }

  /** Removes all that is known of a server, and closes its idle connections. */
  void forget(String server) {
    addresses.remove(server);
    refusingUntil.remove(server);
    closeIdle(server);
  }

  /** Forgets all other servers. */
  void retainOnly(Set<String> servers) {
    for (String server : List.copyOf(addresses.keySet())) {
      if (!servers.contains(server)) {
        forget(server);
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
    if (address != null && !connections.containsKey(server) && openCount < limits.connections()) {
      open(server, address);
    }
  }

  /**
   * The connection for a call of parts with these ids: that with the fewest parts in flight, or a
   * new one where all are busy. Returns null where there is none.
   */
  SlotConnection connectionFor(String server, HostPort address, List<String> partIds) {
    closeIdleTooLong(server);
    List<SlotConnection> ofServer = connections.getOrDefault(server, List.of());
    SlotConnection leastLoaded = leastLoaded(ofServer, address, partIds);
    if (leastLoaded != null
        && (leastLoaded.callCount() < limits.callsBeforeNext()
            || !mayOpenAnother(server, ofServer.size()))) {
      return leastLoaded;
    }
    if (partIds.size() > limits.partsPerConnection()) {
      return null;
    }
    if (openCount >= limits.connections() && !closeLongestIdle()) {
      LOG.log(
          Level.WARNING, "No descriptor is left for another connection to slot server " + server);
      return null;
    }
    return open(server, address);
  }

  /**
   * The server closes connections that are idle for too long, perhaps before the next idle check. A
   * call must not cross that close.
   */
  private void closeIdleTooLong(String server) {
    for (SlotConnection connection : connectionsTo(server)) {
      if (connection.isIdleTooLong()) {
        connection.close();
      }
    }
  }

  private SlotConnection leastLoaded(
      List<SlotConnection> ofServer, HostPort address, List<String> partIds) {
    SlotConnection leastLoaded = null;
    for (SlotConnection connection : ofServer) {
      boolean hasCapacity = connection.partCount() + partIds.size() <= limits.partsPerConnection();
      if (hasCapacity
          && (leastLoaded == null || connection.partCount() < leastLoaded.partCount())
          && connection.accepts(address, partIds)) {
        leastLoaded = connection;
      }
    }
    return leastLoaded;
  }

  private boolean mayOpenAnother(String server, int openToServer) {
    return openToServer < maxPerServer() && openCount < limits.connections() && !isRefusing(server);
  }

  /** A few servers must not take all connections, so each has an equal share at the most. */
  private int maxPerServer() {
    int equalShare = limits.connections() / Math.max(1, addresses.size());
    return Math.max(1, Math.min(MAX_PER_SERVER, equalShare));
  }

  /** Opens a connection; returns null where no socket can be opened, which ends the attempt. */
  private SlotConnection open(String server, HostPort address) {
    try {
      SlotConnection opened = new SlotConnection(loop, timing, owner, server, address);
      openCount++;
      connections.computeIfAbsent(server, s -> new ArrayList<>()).add(opened);
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

  /** Closes the connection idle for longest; returns false where none is idle. */
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

  /** Whether a connection to a server is up. */
  boolean isConnectedTo(String server) {
    return connections.getOrDefault(server, List.of()).stream()
        .anyMatch(SlotConnection::isConnected);
  }

  /** Notes that a running server refused a connection, as it accepts no more for now. */
  void noteRefusal(String server) {
    refusingUntil.put(server, timing.clock().now() + REFUSAL_PAUSE_MS);
  }

  private boolean isRefusing(String server) {
    return timing.clock().now() < refusingUntil.getOrDefault(server, Double.NEGATIVE_INFINITY);
  }

  /** Removes a connection that takes no further calls. */
  void remove(SlotConnection connection) {
    List<SlotConnection> ofServer = connections.get(connection.server());
    if (ofServer != null && ofServer.remove(connection) && ofServer.isEmpty()) {
      connections.remove(connection.server());
    }
  }

  /** Counts the descriptor of a closed connection as free. */
  void releaseDescriptor() {
    openCount--;
  }
}
