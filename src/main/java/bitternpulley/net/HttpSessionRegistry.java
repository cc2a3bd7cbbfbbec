package bitternpulley.net;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The open connections of one server, least recently used first, and the limits on all of them
 * together: their number, their unused share and the bytes that they buffer.
 */
final class HttpSessionRegistry {
  /** Bytes of incomplete and pipelined requests that all connections together may buffer. */
  private static final long MAX_BUFFERED_BYTES = 4 << 20;

  /** A connection that is silent or whose request is incomplete is not evicted before this age. */
  private static final double EVICTION_GRACE_MS = 150;

  /**
   * Share of unused connections, and least number of them, beyond which each response ends its own
   * connection. Clients that send one request and keep their connection would otherwise leave none
   * for the others; clients that return to theirs, as in a rush, keep them.
   */
  private static final double CROWDED_SHARE = 0.15;

  private static final int MIN_CROWDED = 16;

  /** A connection counts as unused when it has been idle for this long after a response. */
  private static final double UNUSED_AFTER_MS = 300;

  /**
   * Share of the capacity that is reserved for connections being closed. Without it, capacity would
   * have to be made by resets, which destroy the response to a request that is on its way.
   */
  private static final double CLOSING_SHARE = 0.125;

  private final int maxConnections;
  private final int evictionThreshold;
  private final Set<HttpSession> sessions = new LinkedHashSet<>();
  private int unused;
  private long bufferedBytes;

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

  /** Ends the connections that have used up their time. */
  void enforceTimeouts() {
    Set.copyOf(sessions).forEach(HttpSession::enforceTimeouts);
  }

  /** Ends the connections that have used up their time and counts the unused ones. */
  void sweep() {
    unused = 0;
    for (HttpSession session : Set.copyOf(sessions)) {
      unused += session.isUnusedFor(UNUSED_AFTER_MS) ? 1 : 0;
      session.enforceTimeouts();
    }
  }

  /**
   * Returns whether one more connection may be opened. Near the limit, it evicts a connection
   * first, so that silent clients do not keep out the rest and descriptors do not run out: one that
   * never sent anything, else the one longest idle, else one whose request is incomplete.
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
      if (session.evictionOrder() != HttpSession.EvictionOrder.NEVER
          && (candidate == null || session.isEvictedBefore(candidate))) {
        candidate = session;
      }
    }
    return candidate;
  }

  /** Returns whether a connection of this age, in ms, is too young to be evicted. */
  boolean isWithinGrace(double age) {
    return age < EVICTION_GRACE_MS;
  }

  /** Returns whether too many connections are unused, so that each response ends its own. */
  boolean isCrowded() {
    return unused > Math.max(MIN_CROWDED, CROWDED_SHARE * maxConnections);
  }

  /**
   * Records that a connection buffers {@code after} bytes in place of {@code before}; returns false
   * when all together buffer too much.
   */
  boolean recordBuffered(long before, long after) {
    bufferedBytes += after - before;
    return bufferedBytes <= MAX_BUFFERED_BYTES || after == 0;
  }

  /** Returns the number of connections that still have work to do, if only to be closed. */
  int countPendingWork() {
    return (int) sessions.stream().filter(HttpSession::hasPendingWork).count();
  }

  /** Returns the number of connections whose response is not completely written. */
  int countPendingResponses() {
    return (int) sessions.stream().filter(HttpSession::hasPendingResponse).count();
  }
}
