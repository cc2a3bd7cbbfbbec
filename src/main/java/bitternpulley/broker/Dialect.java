package bitternpulley.broker;

import java.util.List;

/** A wire, seen from the core: it carries out attempts and delivers answers. Calls never block. */
public interface Dialect {
  /** Sends an attempt; its end comes back as {@link Event.AttemptEnded}. */
  void start(Effect.StartAttempt attempt);

  /**
   * Sends several attempts, all to one server, as one call where this wire has such: the server
   * charges for each call. The end of each comes back by itself. A wire without shared calls sends
   * each on its own.
   */
  default void startCall(List<Effect.StartAttempt> attempts) {
    attempts.forEach(this::start);
  }

  /**
   * Gives an attempt up. Once the server has been told, or never will be asked, {@link
   * Event.AttemptCancelled} comes back, unless the attempt has ended by itself before.
   */
  void cancel(Effect.CancelAttempt attempt);

  /**
   * Takes back the attempts at a server of which not a byte has gone: each ends as {@link
   * bitternpulley.routing.Router.Outcome#MOOT}. Guards against sends that wait for a connection to
   * come up while the server begins to drain.
   */
  void cancelUnsentTo(String server);

  /**
   * Takes back one attempt, unless a byte of it has gone: it ends as {@link
   * bitternpulley.routing.Router.Outcome#MOOT}. Guards against sends for a client that has left, or
   * had its answer, where nothing may be called off.
   */
  void cancelUnsent(Effect.CancelUnsent attempt);

  /** Delivers the one final answer of a request. */
  void reply(Effect.Reply reply);

  /** Closes idle connections to a server. */
  void closeIdleConnections(String server);
}
