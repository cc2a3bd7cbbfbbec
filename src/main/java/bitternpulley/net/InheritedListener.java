package bitternpulley.net;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.channels.Channel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.function.Consumer;

/**
 * Accepts connections from the listening socket that the process inherited as descriptor 0 and that
 * other processes may share. The JDK provides it only as a selectable channel, so a dedicated
 * thread selects it and all connections accepted from it.
 */
public final class InheritedListener implements Listener {
  private static final System.Logger LOG = System.getLogger(InheritedListener.class.getName());

  private final EventLoop loop;
  private final Selector selector;
  private final ServerSocketChannel channel;
  private final SelectionKey key;
  private volatile Consumer<Connection> onAccepted;
  private volatile Consumer<Throwable> onFailure;
  private volatile boolean open = true;

  private InheritedListener(EventLoop loop, ServerSocketChannel channel) throws IOException {
    this.loop = loop;
    this.channel = channel;
    selector = Selector.open();
    channel.configureBlocking(false);
    key = channel.register(selector, 0);
    key.attach((Runnable) this::acceptReady);
    Thread thread = new Thread(this::selectForever, "passed");
    thread.setDaemon(true);
    thread.start();
  }

  /**
   * Returns a listener on the inherited socket.
   *
   * @throws IOException when descriptor 0 is not a listening socket
   */
  public static InheritedListener inherited(EventLoop loop) throws IOException {
    Channel inherited = System.inheritedChannel();
    if (inherited instanceof ServerSocketChannel listening) {
      return new InheritedListener(loop, listening);
    }
    throw new IOException("descriptor 0 is not a listening socket");
  }

  private void selectForever() {
    while (true) {
      try {
        selector.select(selected -> ((Runnable) selected.attachment()).run());
      } catch (IOException | RuntimeException | Error failure) {
        // Supervised boundary: the failure of one connection must not end the selector thread.
        LOG.log(Level.ERROR, "Selecting the inherited sockets failed", failure);
      }
    }
  }

  @Override
  public void accept(Consumer<Connection> onAccepted, Consumer<Throwable> onFailure) {
    this.onAccepted = onAccepted;
    this.onFailure = onFailure;
    key.interestOpsOr(SelectionKey.OP_ACCEPT);
    selector.wakeup();
  }

  private void acceptReady() {
    SocketChannel accepted;
    try {
      accepted = open ? channel.accept() : null;
      if (accepted == null) {
        return; // another process accepted the connection, or this one no longer accepts any
      }
      key.interestOpsAnd(0);
      Connection connection = new Connection(loop, new SelectableByteChannel(accepted, selector));
      loop.runInTurn(() -> onAccepted.accept(connection));
    } catch (IOException exception) {
      key.interestOpsAnd(0);
      loop.runInTurn(() -> onFailure.accept(exception));
    }
  }

  @Override
  public boolean isOpen() {
    return open;
  }

  /**
   * Stops accepting without closing the channel: on close, the JDK would redirect descriptors 0 to
   * 2 to /dev/null, and the log with them.
   */
  @Override
  public void close() {
    open = false;
    key.interestOpsAnd(0);
  }
}
