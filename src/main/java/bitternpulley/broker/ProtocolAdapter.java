package bitternpulley.broker;

import java.util.List;

/**
 * A protocol spoken with clients and servers: sends attempts to servers and delivers answers to
 * clients. Its methods never block.
 */
public interface ProtocolAdapter {
  /** Sends an attempt. Its end is reported as {@link Event.AttemptEnded}. */
  void start(Effect.StartAttempt attempt);

  /**
   * Sends several attempts to one server, as one call if this protocol has shared calls and one by
   * one otherwise. The end of each attempt is reported separately.
   */
  default void startCall(List<Effect.StartAttempt> attempts) {
    attempts.forEach(this::start);
  }

  /**
   * Cancels an attempt. {@link Event.AttemptCancelled} is reported once the server was notified or
   * is certain never to receive the attempt, unless the attempt ended on its own before.
   */
  void cancel(Effect.CancelAttempt attempt);

  /**
   * Cancels the attempts to a server of which no byte was sent, for example attempts that wait for
   * a connection when the server begins to drain. Each ends as {@link
   * bitternpulley.routing.Router.Outcome#NOT_SENT}.
   */
  void cancelUnsentTo(String server);

  /**
   * Cancels one attempt unless a byte of it was sent. A cancelled attempt ends as {@link
   * bitternpulley.routing.Router.Outcome#NOT_SENT}. Used at sites that forbid cancellation, after
   * the client of the attempt has disconnected or has been answered.
   */
  void cancelUnsent(Effect.CancelUnsent attempt);

  /** Delivers the final answer of a request. */
  void reply(Effect.Reply reply);

  /** Closes idle connections to a server. */
  void closeIdleConnections(String server);
}
