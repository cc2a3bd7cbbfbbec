package bitternpulley.routing;

import java.util.List;
import java.util.OptionalDouble;

/**
 * The decisions of one aggregator instance: events in, {@link Actions} out. Every event carries the
 * time in ms of the caller's clock, which never decreases. Events that arrive together are a batch,
 * which {@link #completeBatch} ends. An implementation keeps no state outside itself, so the same
 * events give the same actions.
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

    /** True when the server cannot have begun the part. */
    public boolean neverRan() {
      return neverRan;
    }
  }

  /**
   * The other process of the same instance that runs during a hot restart. Both share the listening
   * socket and all limits.
   */
  enum HotRestartRole {
    /** No other process runs. */
    NONE,
    /** The other process is the older one, which leaves. */
    PREDECESSOR,
    /** The other process is the newer one, which takes over. */
    SUCCESSOR
  }

  /** The state of a server in the endpoint list. */
  enum ServerState {
    /** It accepts parts. */
    LIVE,
    /** It finishes the parts it has and accepts no more. */
    DRAINING,
    /** It is not in service. */
    GONE
  }

  /** How an endpoint list is to be applied. */
  enum ListKind {
    /** It holds only the servers that changed. */
    CHANGES,
    /** It holds all servers. */
    COMPLETE,
    /** It holds all servers as a previous process stored them. */
    REMEMBERED,
    /** It could not be read, and is empty. */
    FAILED
  }

  /**
   * One server of an endpoint list.
   *
   * @param server its id
   * @param cell the cell whose shards it holds
   * @param startedAt when its process started; 0 means long ago
   */
  record Endpoint(String server, int zone, int cell, ServerState state, double startedAt) {}

  /**
   * By how much this instance itself delayed a query.
   *
   * @param unreadFor ms for which its bytes may have been unread
   * @param loopLag recent delay in ms of the event loop, which the answer may meet as well
   */
  record Lateness(double unreadFor, double loopLag) {
    /** No delay. */
    public static final Lateness NONE = new Lateness(0, 0);

    /** Largest share of a client's timeout that is reserved for the delay of the event loop. */
    private static final double MAX_LOOP_LAG_SHARE = 0.125;

    /**
     * Ms until the answer has to leave.
     *
     * @param clientTimeout ms for which the client waits from when it sent the query
     * @param minimumLead ms reserved at least for the answer's way to the client
     */
    public double timeLeft(double clientTimeout, double minimumLead) {
      return clientTimeout
          - unreadFor
          - Math.max(minimumLead, Math.min(loopLag, MAX_LOOP_LAG_SHARE * clientTimeout));
    }
  }

  /**
   * A query received; its parts follow with the same number.
   *
   * @param id identifies it in actions and client events
   * @param number identifies it in its parts
   * @param queryClass index of its class in the settings
   * @param parts how many parts its first step has
   * @param estimatedWork the work of all its parts in ms, or 0 where unknown
   * @param retry whether the client marked it as a retry
   * @param timeLeft ms for which the client waits
   * @param tenant index of its tenant in the settings
   */
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

    /** A query on the terms of its class, without delay. */
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
   * @param clientSetTimeout whether the client chose its timeout, which then does not show whether
   *     the query is a retry
   * @param contract the class as the tenant's contract modifies it, or null
   */
  record Terms(boolean completeOnly, boolean clientSetTimeout, ClassTerms contract) {
    /** Those of the class only. */
    public static final Terms CLASS_DEFAULT = new Terms(false, false);

    /** Terms without a contract. */
    public Terms(boolean completeOnly, boolean clientSetTimeout) {
      this(completeOnly, clientSetTimeout, null);
    }

    /** The same terms under a contract. */
    public Terms underContract(ClassTerms contractTerms) {
      return new Terms(completeOnly, clientSetTimeout, contractTerms);
    }

    /** The class as these terms modify it. */
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
   * @param minimumShare least share of the weight of a partial answer
   * @param priorityWeight importance relative to other classes
   */
  record ClassTerms(
      double latencyObjective, double deadline, double minimumShare, double priorityWeight) {}

  /**
   * A part of a query's current step.
   *
   * @param id identifies it in actions and outcomes
   * @param number that of its query
   * @param weight its share of the complete answer
   * @param estimatedWork its work in ms, or 0 where unknown
   */
  record Part(long id, long number, int shard, double weight, double estimatedWork) {}

  /**
   * The end of an attempt, of which there is exactly one.
   *
   * @param part id of the part
   * @param attempt number among the attempts of the part, from 0
   * @param elapsed ms since it was sent
   */
  record AttemptEnded(long part, int attempt, String server, Outcome outcome, double elapsed) {}

  /** What a router may do; the caller carries it out in the order of the calls. */
  interface Actions {
    /** Starts the next attempt of a part; without an outcome it ends after {@code timeout} ms. */
    void send(long part, String server, double timeout);

    /** Cancels an attempt that is in flight. */
    void cancel(long part, int attempt);

    /**
     * Answers a query from the parts that have arrived: its final answer, or that of its first step
     * where the class has a second one.
     */
    void answer(long query, boolean complete);

    /** Rejects a query: a retry is harmless, best after {@code retryAfter} ms. */
    void reject(long query, double retryAfter);

    /** Fails a query, of which parts may have run. */
    void fail(long query);

    /** Requests {@link #onAlarm} at a time. */
    void scheduleAlarm(double time, String token);

    /** Requests changes of the endpoint list from discovery. */
    void watchEndpoints();

    /** Closes the idle connections to a server, so that the next part opens a new one. */
    void closeIdleConnections(String server);

    /** Adds a line to the log. */
    void log(String text);
  }

  /** The endpoint list or a change to it arrived, or a request for it failed. */
  void onServersChanged(ListKind kind, List<Endpoint> entries, double now, Actions out);

  /** An operator readmitted a server, which may have restarted in the meantime. */
  default void onServerReadmitted(Endpoint server, double now, Actions out) {
    onServersChanged(ListKind.CHANGES, List.of(server), now, out);
  }

  /** Another process of this instance runs from now on, or no longer does. */
  default void onHotRestart(HotRestartRole role) {}

  /**
   * This process did not run for {@code pausedMs} until now. It comes before the events that have
   * waited meanwhile, some of which may have happened at the beginning of that time.
   */
  default void onPause(double pausedMs, double now) {}

  /** This instance's quota of what all instances may do together. */
  interface QuotaShare {
    /** An even quota by the number of instances configured. */
    QuotaShare EVEN = now -> 1;

    /**
     * The quota at a time, as a multiple of an even one: more than 1 where fewer instances may act,
     * 0 where this one may not.
     */
    double at(double now);
  }

  /** Sets this instance's quota, which is {@link QuotaShare#EVEN} at first. */
  default void useQuota(QuotaShare share) {}

  /**
   * Whether a query is rejected unread, since too many queries and parts are pending. The limit is
   * exceeded by at most one query.
   *
   * @param pending queries that are not finished, plus their parts that have not arrived
   * @return the delay in ms advised to the client, or empty where there is capacity
   */
  default OptionalDouble rejectionDelay(int pending) {
    return OptionalDouble.empty();
  }

  /** A query arrived. */
  void onQuery(Query query, double now, Actions out);

  /** A part of a query arrived, right after it or after the answer to its first step. */
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
