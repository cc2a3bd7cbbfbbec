package bitternpulley.net;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The open connections of one server, least recently used first, and the limits on all of them
 * together: their number and the share of unused ones.
 */
final class HttpSessionRegistry {
  /** Time for which a connection that is silent or whose request is incomplete is not evicted. */
  private static final double EVICTION_GRACE_MS = 150;

  /**
   * Share of unused connections beyond which each connection is closed after its response. Clients
   * that send one request and keep their connection would otherwise leave none for the others.
   * Clients that reuse their connections, as in a load peak, keep them.
   */
  private static final double MAX_UNUSED_SHARE = 0.15;

  /** Number of unused connections up to which {@link #MAX_UNUSED_SHARE} does not apply. */
  private static final int MIN_UNUSED_LIMIT = 16;

  /** A connection counts as unused when it has been idle for this long after a response. */
  private static final double UNUSED_AFTER_MS = 300;

  /**
   * Share of the capacity that is reserved for connections being closed. Without it, connections
   * would have to be reset to free capacity, which destroys the response to a request that is on
   * its way.
   */
  private static final double CLOSING_SHARE = 0.125;

  private final int maxConnections;
  private final int evictionThreshold;
  private final Set<HttpSession> sessions = new LinkedHashSet<>();
  private int unusedCount;

  HttpSessionRegistry(int maxConnections) {
    this.maxConnections = maxConnections;
    this.evictionThreshold = maxConnections - (int) (CLOSING_SHARE * maxConnections);
  }

  /** Adds a new connection. */
  void add(HttpSession session) {
    sessions.add(session);
  }

  /** Removes a connection that has ended. */
  void remove(HttpSession session) {
    sessions.remove(session);
  }

  /** Makes a connection the most recently used. */
  void markUsed(HttpSession session) {
    sessions.remove(session);
    sessions.add(session);
  }

  /** Returns whether no connection is open. */
  boolean isEmpty() {
    return sessions.isEmpty();
  }

  /** Applies the time-outs of all connections. */
  void enforceTimeouts() {
    Set.copyOf(sessions).forEach(HttpSession::enforceTimeoutsClosingOnError);
  }

  /** Applies the time-outs of all connections and counts the unused ones. */
  void sweep() {
    unusedCount = 0;
    for (HttpSession session : Set.copyOf(sessions)) {
      unusedCount += session.isUnusedFor(UNUSED_AFTER_MS) ? 1 : 0;
      session.enforceTimeoutsClosingOnError();
    }
  }

  /**
   * Returns whether one more connection may be accepted. Near the limit, it first evicts a
   * connection, so that silent clients do not keep out others and descriptors do not run out: one
   * that never sent anything, else the one idle for longest, else one whose request is incomplete.
   */
  boolean makeCapacity() {
    if (sessions.size() < evictionThreshold) {
      return true;
    }
    HttpSession candidate = findEvictable();
    if (candidate != null) {
      candidate.evict();
    }
    return sessions.size() < maxConnections;
  }

  private HttpSession findEvictable() {
    HttpSession candidate = null;
    for (HttpSession session : sessions) {
      if (session.evictionOrder() != EvictionOrder.NEVER
          && (candidate == null || session.isEvictedBefore(candidate))) {
        candidate = session;
      }
    }
    return candidate;
  }

  /** Returns whether a connection has been in its state too briefly to be evicted. */
  boolean isWithinGrace(double msInState) {
    return msInState < EVICTION_GRACE_MS;
  }

  /** Returns whether too many connections are unused, so that each is closed after its response. */
  boolean hasTooManyUnused() {
    return unusedCount > Math.max(MIN_UNUSED_LIMIT, MAX_UNUSED_SHARE * maxConnections);
  }

  /** Returns the number of connections with pending work, including those being closed. */
  int countPendingWork() {
    return (int) sessions.stream().filter(HttpSession::hasPendingWork).count();
  }

  /** Returns the number of connections whose response is pending or not completely written. */
  int countPendingResponses() {
    return (int) sessions.stream().filter(HttpSession::hasPendingResponse).count();
  }
}
