package bitternpulley.routing;

import java.util.List;
import java.util.OptionalDouble;

/**
 * The decisions of one front node: events in, {@link Actions} out. Every event carries the clock in
 * milliseconds; events that came together are closed by {@link #settle}. An implementation keeps no
 * state outside itself.
 */
public interface Router {

  /** How an attempt ended, and whether that proves that the part never ran. */
  enum Outcome {
    OK(false),
    ERROR(false),
    FULL(true),
    TIMEOUT(false),
    UNREACHABLE(true),
    RESET(false),
    CANCELLED(false),
    MOOT(true);

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
  enum Beside {
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
  record Member(String server, int zone, int cell, ServerState state, double startedAt) {}

  /**
   * How late the instance itself was with a query: ms for which its bytes may have lain unread, and
   * by which the instance's turns came late of late, which its answer may meet as well.
   */
  record Lateness(double unread, double turns) {
    public static final Lateness NONE = new Lateness(0, 0);

    /** Share of a client's time that is kept for turns which come late, however late they came. */
    private static final double TURNS_MOST = 0.125;

    /**
     * Of the ms that a client said it would wait, those until its answer has to leave; {@code lead}
     * of them at least are for its way.
     */
    public double left(double told, double lead) {
      return told - unread - Math.max(lead, Math.min(turns, TURNS_MOST * told));
    }
  }

  /** A query taken; its parts follow under the same number. */
  record Query(
      long id,
      long number,
      int queryClass,
      int parts,
      double work,
      boolean retry,
      double timeLeft,
      int tenant,
      Terms terms,
      Lateness late) {

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
          Terms.OF_CLASS,
          Lateness.NONE);
    }
  }

  /**
   * What is asked for beside the class: nothing but the whole, or a time of its own that tells of
   * no retry, by the client; and what its team's contract says of the class, or null.
   */
  record Terms(boolean wholeOnly, boolean ownTime, ClassTerms contract) {
    public static final Terms OF_CLASS = new Terms(false, false);

    /** Terms without a contract. */
    public Terms(boolean wholeOnly, boolean ownTime) {
      this(wholeOnly, ownTime, null);
    }

    /** The same under a contract. */
    public Terms under(ClassTerms agreed) {
      return new Terms(wholeOnly, ownTime, agreed);
    }

    /** The class as these terms have it. */
    public Settings.QueryClass of(Settings.QueryClass listed) {
      Settings.QueryClass kind = contract == null ? listed : listed.under(contract);
      return wholeOnly ? kind.wholeOnly() : kind;
    }
  }

  /**
   * What a contract says of a class: times in ms, the least share of the weight, the worth; never
   * laxer than the site's.
   */
  record ClassTerms(double aim, double deadline, double leastShare, double worth) {}

  /** A part of a query's current step. */
  record Part(long id, long number, int shard, double weight, double work) {}

  /** The one end of an attempt; {@code load} is null where no report came with it. */
  record Ended(
      long part, int attempt, String server, Outcome outcome, double elapsed, double[] load) {}

  /** The answer to a probe. */
  record Probed(String server, boolean ok, double elapsed, double[] load) {}

  /** What a router may do; carried out in the order of the calls. */
  interface Actions {
    /** Starts the next attempt of a part; no outcome within {@code timeout} ends it. */
    void send(long part, String server, double timeout);

    /** Ceases to wait for an attempt. */
    void cancel(long part, int attempt);

    /**
     * Answers a query from the parts that are in: its final answer, or the end of its first step.
     */
    void answer(long query, boolean whole);

    /** Refuses a query: trying again is harmless, best after {@code pause}. */
    void refuse(long query, double pause);

    /** Fails a query: nothing is promised. */
    void fail(long query);

    /** Asks for {@link #alarm} at a time. */
    void alarmAt(double time, String token);

    /** Asks discovery for changes from now on. */
    void watch();

    /** Closes the idle connections to a server, so that the next part goes over a fresh one. */
    void close(String server);

    /** Probes a server. */
    void probe(String server);

    /** Adds a line to the report. */
    void log(String text);
  }

  /** The list of servers, or a change to it, or the news that asking for it failed. */
  void members(ListKind kind, List<Member> entries, double now, Actions out);

  /** An operator has let a server back in: nobody knows what it went through meanwhile. */
  default void readmitted(Member server, double now, Actions out) {
    members(ListKind.CHANGES, List.of(server), now, out);
  }

  /** Another process of this instance runs beside this one from now on, or none does any more. */
  default void beside(Beside other) {}

  /**
   * This instance's part of what all may do together at a time, in parts of an even one by the
   * number configured: more than 1 where fewer may act, 0 where this one may not.
   */
  interface Portion {
    /** As configured. */
    Portion EVEN = now -> 1;

    double at(double now);
  }

  /** This instance's part goes by so from now on; {@link Portion#EVEN} at first. */
  default void portion(Portion portion) {}

  /**
   * Whether a query is turned away unseen, since so many queries and parts that are not in are held
   * already: the pause its client is advised, or empty where there is room. As in the simulator,
   * what is held goes beyond the limit by one query at most.
   */
  default OptionalDouble turnedAway(int held) {
    return OptionalDouble.empty();
  }

  /** A query arrives. */
  void query(Query query, double now, Actions out);

  /** A part of a query arrives, right after it or after the answer to its first step. */
  void part(Part part, double now, Actions out);

  /** An attempt has ended. */
  void ended(Ended ended, double now, Actions out);

  /** The client has left, or waits no longer. */
  void gone(long query, double now, Actions out);

  /** An alarm is due. */
  void alarm(String token, double now, Actions out);

  /** A probe has ended; a router that sends none need not care. */
  default void probed(Probed probed, double now, Actions out) {}

  /** All that happened at this time has been told. */
  void settle(double now, Actions out);
}
