package bitternpulley.routing;

import java.util.List;
import java.util.OptionalDouble;

/**
 * The decisions of one front node: events in, {@link Actions} out. Every event carries the clock in
 * milliseconds; events that came together are closed by {@link #completeBatch}. An implementation
 * keeps no state outside itself.
 */
public interface Router {

  /** How an attempt ended, and whether that proves that the part never ran. */
  enum Outcome {
    OK(false),
    ERROR(false),
    REJECTED(true),
    TIMEOUT(false),
    UNREACHABLE(true),
    RESET(false),
    CANCELLED(false),
    NOT_SENT(true);

    private final boolean neverRan;

    Outcome(boolean neverRan) {
      this.neverRan = neverRan;
    }

    /** True when the server cannot have begun the part. */
    public boolean neverRan() {
      return neverRan;
    }
  }

  /**
   * Which other process of the same instance runs at the same time, with which this one shares all
   * limits.
   */
  enum HotRestartRole {
    NONE,
    PREDECESSOR,
    SUCCESSOR
  }

  /** What discovery says of a server. */
  enum ServerState {
    LIVE,
    DRAINING,
    GONE
  }

  /** How a list of servers is to be read. */
  enum ListKind {
    CHANGES,
    COMPLETE,
    REMEMBERED,
    FAILED
  }

  /** One server of a list; {@code startedAt} 0 means long ago. */
  record Endpoint(String server, int zone, int cell, ServerState state, double startedAt) {}

  /**
   * How late the instance itself was with a query: ms for which its bytes may have lain unread, and
   * by which the instance's turns came late of late, which its answer may meet as well.
   */
  record Lateness(double unreadFor, double loopLag) {
    public static final Lateness NONE = new Lateness(0, 0);

    /** Share of a client's time that is kept for turns which come late, however late they came. */
    private static final double MAX_LOOP_LAG_SHARE = 0.125;

    /**
     * Of the ms that a client said it would wait, those until its answer has to leave; {@code lead}
     * of them at least are for its way.
     */
    public double timeLeft(double clientTimeout, double minimumLead) {
      return clientTimeout
          - unreadFor
          - Math.max(minimumLead, Math.min(loopLag, MAX_LOOP_LAG_SHARE * clientTimeout));
    }
  }

  /** A query taken; its parts follow under the same number. */
  record Query(
      long id,
      long number,
      int queryClass,
      int parts,
      double estimatedWork,
      boolean retry,
      double timeLeft,
      int tenant,
      Terms terms,
      Lateness lateness) {

    /** A query on its class's own terms. */
    public Query(
        long id,
        long number,
        int queryClass,
        int parts,
        double work,
        boolean retry,
        double timeLeft,
        int tenant) {
      this(
          id,
          number,
          queryClass,
          parts,
          work,
          retry,
          timeLeft,
          tenant,
          Terms.CLASS_DEFAULT,
          Lateness.NONE);
    }
  }

  /**
   * What is asked for beside the class: nothing but the whole, or a time of its own that tells of
   * no retry, by the client; and what its team's contract says of the class, or null.
   */
  record Terms(boolean completeOnly, boolean clientSetTimeout, ClassTerms contract) {
    public static final Terms CLASS_DEFAULT = new Terms(false, false);

    /** Terms without a contract. */
    public Terms(boolean wholeOnly, boolean ownTime) {
      this(wholeOnly, ownTime, null);
    }

    /** The same under a contract. */
    public Terms underContract(ClassTerms contractTerms) {
      return new Terms(completeOnly, clientSetTimeout, contractTerms);
    }

    /** The class as these terms have it. */
    public Settings.QueryClass applyTo(Settings.QueryClass configured) {
      Settings.QueryClass queryClass =
          contract == null ? configured : configured.underContract(contract);
      return completeOnly ? queryClass.completeOnly() : queryClass;
    }
  }

  /**
   * What a contract says of a class: times in ms, the least share of the weight, the worth; never
   * laxer than the site's.
   */
  record ClassTerms(
      double latencyObjective, double deadline, double minimumShare, double priorityWeight) {}

  /** A part of a query's current step. */
  record Part(long id, long number, int shard, double weight, double estimatedWork) {}

  /** The one end of an attempt, {@code elapsed} ms after it was sent. */
  record AttemptEnded(long part, int attempt, String server, Outcome outcome, double elapsed) {}

  /** What a router may do; carried out in the order of the calls. */
  interface Actions {
    /** Starts the next attempt of a part; no outcome within {@code timeout} ends it. */
    void send(long part, String server, double timeout);

    /** Ceases to wait for an attempt. */
    void cancel(long part, int attempt);

    /**
     * Answers a query from the parts that are in: its final answer, or the end of its first step.
     */
    void answer(long query, boolean complete);

    /** Refuses a query: trying again is harmless, best after {@code pause}. */
    void reject(long query, double retryAfter);

    /** Fails a query: nothing is promised. */
    void fail(long query);

    /** Asks for {@link #onAlarm} at a time. */
    void scheduleAlarm(double time, String token);

    /** Asks discovery for changes from now on. */
    void watchEndpoints();

    /** Closes the idle connections to a server, so that the next part goes over a fresh one. */
    void closeIdleConnections(String server);

    /** Adds a line to the report. */
    void log(String text);
  }

  /** The list of servers, or a change to it, or the news that asking for it failed. */
  void onServersChanged(ListKind kind, List<Endpoint> entries, double now, Actions out);

  /** An operator has let a server back in: nobody knows what it went through meanwhile. */
  default void onServerReadmitted(Endpoint server, double now, Actions out) {
    onServersChanged(ListKind.CHANGES, List.of(server), now, out);
  }

  /** Another process of this instance runs beside this one from now on, or none does any more. */
  default void onHotRestart(HotRestartRole role) {}

  /**
   * This instance's part of what all may do together at a time, in parts of an even one by the
   * number configured: more than 1 where fewer may act, 0 where this one may not.
   */
  interface QuotaShare {
    /** As configured. */
    QuotaShare EVEN = now -> 1;

    double at(double now);
  }

  /** This instance's part goes by so from now on; {@link QuotaShare#EVEN} at first. */
  default void useQuota(QuotaShare share) {}

  /**
   * Whether a query is turned away unseen, since so many queries and parts that are not in are held
   * already: the pause its client is advised, or empty where there is room. As in the simulator,
   * what is held goes beyond the limit by one query at most.
   */
  default OptionalDouble rejectionDelay(int pending) {
    return OptionalDouble.empty();
  }

  /** A query arrives. */
  void onQuery(Query query, double now, Actions out);

  /** A part of a query arrives, right after it or after the answer to its first step. */
  void onPart(Part part, double now, Actions out);

  /** An attempt has ended. */
  void onAttemptEnded(AttemptEnded ended, double now, Actions out);

  /** The client has left, or waits no longer. */
  void onClientDisconnected(long query, double now, Actions out);

  /** An alarm is due. */
  void onAlarm(String token, double now, Actions out);

  /** All that happened at this time has been told. */
  void completeBatch(double now, Actions out);
}
