package bitternpulley.net;

import java.lang.System.Logger.Level;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** Accepts connections from a listener, one at a time, while the server has capacity. */
final class AcceptLoop {
  private static final System.Logger LOG = System.getLogger(AcceptLoop.class.getName());

  /** Pause after a failed accept, which is caused by a shortage of file descriptors. */
  private static final double ACCEPT_RETRY_MS = 50;

  /** What to do after a failed accept. */
  enum FailureAction {
    /** Try again after a pause. */
    RETRY,
    /** Accept no more. */
    STOP
  }

  private final EventLoop loop;
  private final Listener listener;
  private final FailureAction failureAction;
  private final BooleanSupplier hasCapacity;
  private final Consumer<Connection> onAccepted;
  private boolean accepting;
  private double lastAcceptedAt;

  /**
   * Creates a loop that asks {@code hasCapacity} before each connection and hands each one to
   * {@code onAccepted}.
   */
  AcceptLoop(
      EventLoop loop,
      Listener listener,
      FailureAction failureAction,
      BooleanSupplier hasCapacity,
      Consumer<Connection> onAccepted) {
    this.loop = loop;
    this.listener = listener;
    this.failureAction = failureAction;
    this.hasCapacity = hasCapacity;
    this.onAccepted = onAccepted;
  }

  /**
   * Accepts the next connection, unless an accept is in progress or there is no capacity. Does
   * nothing when called while capacity is being made, because that ends other connections, which
   * asks for an accept in turn.
   */
  void acceptNext() {
    if (accepting || !listener.isOpen()) {
      return;
    }
    accepting = true;
    if (makeCapacity()) {
      accept();
    }
  }

  private boolean makeCapacity() {
    boolean hasCapacityNow = false;
    try {
      hasCapacityNow = hasCapacity.getAsBoolean();
    } finally {
      accepting = hasCapacityNow;
    }
    return hasCapacityNow;
  }

  private void accept() {
    try {
      listener.accept(this::accepted, this::failed);
    } catch (RuntimeException | Error failure) {
      failed(failure);
    }
  }

  private void accepted(Connection connection) {
    accepting = false;
    lastAcceptedAt = loop.now();
    loop.connectionAccepted();
    try {
      onAccepted.accept(connection);
    } finally {
      acceptNext();
    }
  }

  private void failed(Throwable error) {
    accepting = false;
    if (!listener.isOpen()) {
      return;
    }
    LOG.log(Level.WARNING, "Accepting a connection failed: " + error);
    if (failureAction == FailureAction.RETRY) {
      loop.schedule(ACCEPT_RETRY_MS, this::acceptNext);
    }
  }

  /**
   * Returns when the last connection was accepted, in ms of the loop's clock; 0 before the first.
   */
  double lastAcceptedAt() {
    return lastAcceptedAt;
  }

  /** Returns whether more connections are accepted. */
  boolean isOpen() {
    return listener.isOpen();
  }

  /** Accepts no more connections. */
  void close() {
    listener.close();
  }
}
