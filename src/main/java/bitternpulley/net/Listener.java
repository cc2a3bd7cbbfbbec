package bitternpulley.net;

import java.util.function.Consumer;

/** A listening socket. Calls and callbacks are made in turns of the event loop. */
interface Listener {
  /**
   * Accepts one connection, now or when one arrives. The caller may accept the next one only after
   * one of the two callbacks has run.
   */
  void accept(Consumer<Connection> onAccepted, Consumer<Throwable> onFailure);

  /** Returns whether more connections are accepted. */
  boolean isOpen();

  /** Stops accepting. */
  void close();
}
