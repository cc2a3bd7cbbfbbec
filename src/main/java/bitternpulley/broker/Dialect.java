package bitternpulley.broker;

import java.util.List;

/**
 * A protocol towards clients and servers, as the core sees it: sends attempts and delivers answers.
 * Its methods never block.
 */
public interface Dialect {
  /** Sends an attempt; its end comes back as {@link Event.AttemptEnded}. */
  void start(Effect.StartAttempt attempt);

  /**
   * Sends several attempts to one server, as one call where this protocol has shared calls, else
   * one by one. The end of each comes back by itself.
   */
  default void startCall(List<Effect.StartAttempt> attempts) {
    attempts.forEach(this::start);
  }

  /**
   * Cancels an attempt. Once the server was notified, or certainly never receives the attempt,
   * {@link Event.AttemptCancelled} comes back, unless the attempt ended by itself before.
   */
  void cancel(Effect.CancelAttempt attempt);

  /**
   * Cancels the attempts to a server of which no byte was sent, such as those that wait for a
   * connection while the server begins to drain. Each ends as {@link
   * bitternpulley.routing.Router.Outcome#NOT_SENT}.
   */
  void cancelUnsentTo(String server);

  /**
   * Cancels one attempt unless a byte of it was sent. It ends as {@link
   * bitternpulley.routing.Router.Outcome#NOT_SENT}. Serves sites that forbid cancellation, where
   * the client of an unsent attempt has disconnected or has its answer.
   */
  void cancelUnsent(Effect.CancelUnsent attempt);

  /** Delivers the final answer of a request. */
  void reply(Effect.Reply reply);

  /** Closes idle connections to a server. */
  void closeIdleConnections(String server);
}
