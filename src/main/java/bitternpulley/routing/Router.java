package bitternpulley.routing;

import java.util.List;
import java.util.OptionalDouble;

/**
 * Makes the decisions of one aggregator instance: it receives events and responds with {@link
 * Actions}. Every event carries the time in ms of the caller's clock, which never decreases. Events
 * that arrive together form a batch, which {@link #completeBatch} ends. An implementation keeps no
 * state outside itself, so the same events lead to the same actions.
 */
public interface Router {

  /** How an attempt ended, and whether that proves that the part never ran. */
  enum Outcome {
    /** The server answered the part. */
    OK(false),
    /** The server reported that the part failed. */
    ERROR(false),
    /** The server's queue was full. */
    REJECTED(true),
    /** No outcome arrived within the timeout of the attempt. */
    TIMEOUT(false),
    /** No connection could be established. */
    UNREACHABLE(true),
    /** The connection ended before the answer. */
    RESET(false),
    /** The attempt was cancelled. */
    CANCELLED(false),
    /** The attempt never left this instance. */
    NOT_SENT(true);

    private final boolean neverRan;

    Outcome(boolean neverRan) {
      this.neverRan = neverRan;
    }

    /** Whether it is certain that the server did not begin the part. */
    public boolean neverRan() {
      return neverRan;
    }
  }

  /**
   * The role of the other process of this instance during a hot restart. Both processes share the
   * listening socket and all limits.
   */
  enum HotRestartRole {
    /** No other process runs. */
    NONE,
    /** The other process is the older one, which is being replaced. */
    PREDECESSOR,
    /** The other process is the newer one, which takes over. */
    SUCCESSOR
  }

  /** The state of a server in the endpoint list. */
  enum ServerState {
    /** The server accepts parts. */
    LIVE,
    /** The server finishes the parts it has and accepts no more. */
    DRAINING,
    /** The server is not in service. */
    GONE
  }

  /** How to apply an endpoint list. */
  enum EndpointListKind {
    /** The list contains only the servers that changed. */
    CHANGES,
    /** The list contains all servers. */
    COMPLETE,
    /** The list contains all servers as stored by a previous process. */
    PERSISTED,
    /** The list could not be read and is empty. */
    FAILED
  }

  /**
   * One server of an endpoint list.
   *
   * @param server id of the server
   * @param cell cell of the server, which determines the shards that the server holds, see {@link
   *     Settings.Layout}
   * @param startedAt when the server process started, or 0 if it started long ago
   */
  record Endpoint(String server, int zone, int cell, ServerState state, double startedAt) {}

  /**
   * The delays that this instance itself adds to a query.
   *
   * @param unreadFor ms for which the received bytes of the query may have waited to be read
   * @param loopLag recent delay in ms of the event loop, which may also delay the answer
   */
  record Lateness(double unreadFor, double loopLag) {
    /** No delay. */
    public static final Lateness NONE = new Lateness(0, 0);

    /** Largest share of a client's timeout that is reserved for the delay of the event loop. */
    private static final double MAX_LOOP_LAG_SHARE = 0.125;

    /**
     * The time in ms within which the answer must be sent.
     *
     * @param clientTimeout ms for which the client waits after it sent the query
     * @param minimumLead minimum ms reserved for the transmission of the answer to the client
     */
    public double timeLeft(double clientTimeout, double minimumLead) {
      return clientTimeout
          - unreadFor
          - Math.max(minimumLead, Math.min(loopLag, MAX_LOOP_LAG_SHARE * clientTimeout));
    }
  }

  /**
   * A received query; its parts follow with the same query number.
   *
   * @param id identifies the query in actions and client events
   * @param number identifies the query in its parts
   * @param queryClass index of the query class in the settings
   * @param partCount number of parts of the first step
   * @param estimatedWork work of all parts in ms, or 0 if unknown
   * @param retry whether the client marked the query as a retry
   * @param timeLeft ms for which the client continues to wait
   * @param tenant index of the tenant in the settings
   */
  record Query(
      long id,
      long number,
      int queryClass,
      int partCount,
      double estimatedWork,
      boolean retry,
      double timeLeft,
      int tenant,
      Terms terms,
      Lateness lateness) {

    /** A query with the terms of its class and without delay. */
    public Query(
        long id,
        long number,
        int queryClass,
        int parts,
        double estimatedWork,
        boolean retry,
        double timeLeft,
        int tenant) {
      this(
          id,
          number,
          queryClass,
          parts,
          estimatedWork,
          retry,
          timeLeft,
          tenant,
          Terms.CLASS_DEFAULT,
          Lateness.NONE);
    }
  }

  /**
   * Requirements of a query in addition to those of its class.
   *
   * @param completeOnly whether the client accepts no partial answer
   * @param clientSetTimeout whether the client chose the timeout, which then does not show whether
   *     the query is a retry
   * @param contract terms of the tenant's contract for the class, or null if there is none
   */
  record Terms(boolean completeOnly, boolean clientSetTimeout, ClassTerms contract) {
    /** No requirements in addition to those of the class. */
    public static final Terms CLASS_DEFAULT = new Terms(false, false);

    /** Terms without a contract. */
    public Terms(boolean completeOnly, boolean clientSetTimeout) {
      this(completeOnly, clientSetTimeout, null);
    }

    /** The same terms under a contract. */
    public Terms underContract(ClassTerms contractTerms) {
      return new Terms(completeOnly, clientSetTimeout, contractTerms);
    }

    /** The configured class with these terms applied. */
    public Settings.QueryClass applyTo(Settings.QueryClass configured) {
      Settings.QueryClass queryClass =
          contract == null ? configured : configured.underContract(contract);
      return completeOnly ? queryClass.completeOnly() : queryClass;
    }
  }

  /**
   * A contract's terms for a class, at least as strict as those of the site.
   *
   * @param latencyObjective in ms
   * @param deadline in ms
   * @param minimumShare smallest share of the weight in a partial answer
   * @param priorityWeight importance relative to other classes
   */
  record ClassTerms(
      double latencyObjective, double deadline, double minimumShare, double priorityWeight) {}

  /**
   * A part of a query's current step.
   *
   * @param id identifies the part in actions and outcomes
   * @param queryNumber number of the query
   * @param weight the part's share of the complete answer
   * @param estimatedWork work of the part in ms, or 0 if unknown
   */
  record Part(long id, long queryNumber, int shard, double weight, double estimatedWork) {}

  /**
   * The end of an attempt. Each attempt ends exactly once.
   *
   * @param part id of the part
   * @param attempt index of the attempt among the attempts of the part, from 0
   * @param elapsed ms since the attempt was sent
   */
  record AttemptEnded(long part, int attempt, String server, Outcome outcome, double elapsed) {}

  /** The actions available to a router; the caller carries them out in the order of the calls. */
  interface Actions {
    /**
     * Starts the next attempt of a part. If there is no outcome within {@code timeout} ms, the
     * attempt ends with a timeout.
     */
    void send(long part, String server, double timeout);

    /** Cancels an attempt that is in flight. */
    void cancel(long part, int attempt);

    /**
     * Answers a query from the parts that have arrived. This is the final answer, or the answer to
     * the first step if the class has a second step.
     */
    void answer(long query, boolean complete);

    /**
     * Rejects a query. A retry by the client is harmless, preferably after {@code retryAfter} ms.
     */
    void reject(long query, double retryAfter);

    /** Fails a query. Some of its parts may have run. */
    void fail(long query);

    /** Requests a call of {@link #onAlarm} at {@code time}. */
    void scheduleAlarm(double time, String token);

    /** Requests changes of the endpoint list from discovery. */
    void watchEndpoints();

    /** Closes the idle connections to a server, so that the next part opens a new one. */
    void closeIdleConnections(String server);

    /** Adds a line to the log. */
    void log(String text);
  }

  /** The endpoint list or a change to it arrived, or a request for it failed. */
  void onServersChanged(EndpointListKind kind, List<Endpoint> entries, double now, Actions out);

  /** An operator readmitted a server, which may have restarted in the meantime. */
  default void onServerReadmitted(Endpoint server, double now, Actions out) {
    onServersChanged(EndpointListKind.CHANGES, List.of(server), now, out);
  }

  /**
   * Another process of this instance started or stopped; {@code role} is its role, or {@code NONE}.
   */
  default void onHotRestart(HotRestartRole role) {}

  /**
   * This process did not run for the {@code pausedMs} before {@code now}. The call precedes the
   * events that waited during the pause, some of which may have occurred at its beginning.
   */
  default void onPause(double pausedMs, double now) {}

  /** This instance's quota of what all instances together may do. */
  interface QuotaShare {
    /** An even quota: one share for each configured instance. */
    QuotaShare EVEN = now -> 1;

    /**
     * The quota at a time, as a multiple of an even quota: more than 1 if fewer instances may act,
     * 0 if this instance may not act.
     */
    double multipleAt(double now);
  }

  /** Sets this instance's quota, which is initially {@link QuotaShare#EVEN}. */
  default void useQuota(QuotaShare share) {}

  /**
   * Decides whether to reject a query before it is read, because too many queries and parts are
   * pending. At most one query exceeds the limit.
   *
   * @param pending number of unfinished queries plus number of their parts that have not arrived
   * @return the delay in ms that the client is advised to wait, or empty if there is capacity
   */
  default OptionalDouble rejectionDelay(int pending) {
    return OptionalDouble.empty();
  }

  /** A query arrived. */
  void onQuery(Query query, double now, Actions out);

  /** A part of a query arrived, directly after the query or after the answer to its first step. */
  void onPart(Part part, double now, Actions out);

  /** An attempt ended. */
  void onAttemptEnded(AttemptEnded ended, double now, Actions out);

  /** The client disconnected or its timeout has passed. */
  void onClientDisconnected(long query, double now, Actions out);

  /** An alarm is due. */
  void onAlarm(String token, double now, Actions out);

  /** All events of a batch have been delivered. */
  void completeBatch(double now, Actions out);
}
