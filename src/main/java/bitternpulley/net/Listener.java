package bitternpulley.net;

import java.util.function.Consumer;

/** Where connections come from. Calls come on the loop's turn, and so does what is told. */
interface Listener {
  /** Takes one connection, now or when one comes; asked for again only once this is told. */
  void accept(Consumer<Connection> onAccepted, Consumer<Throwable> onFailure);

  boolean isOpen();

  /** Takes no more. */
  void close();
}
