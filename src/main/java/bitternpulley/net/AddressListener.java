package bitternpulley.net;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.function.Consumer;

/** Listens at an address of its own. */
final class AddressListener implements Listener {
  private static final System.Logger LOG = System.getLogger(AddressListener.class.getName());

  private final EventLoop loop;
  private final AsynchronousServerSocketChannel channel;

  AddressListener(EventLoop loop, HostPort at, int backlog, boolean shared) throws IOException {
    this.loop = loop;
    channel = AsynchronousServerSocketChannel.open(loop.group());
    if (shared) {
      channel.setOption(StandardSocketOptions.SO_REUSEPORT, true);
    }
    channel.bind(at.address(), backlog);
  }

  int port() throws IOException {
    return ((InetSocketAddress) channel.getLocalAddress()).getPort();
  }

  @Override
  public void accept(Consumer<Connection> onAccepted, Consumer<Throwable> onFailure) {
    double armed = loop.now();
    channel.accept(
        null,
        new CompletionHandler<AsynchronousSocketChannel, Void>() {
          @Override
          public void completed(AsynchronousSocketChannel accepted, Void nothing) {
            loop.socketTurn(armed, () -> onAccepted.accept(new Connection(loop, accepted)));
          }

          @Override
          public void failed(Throwable error, Void nothing) {
            loop.inTurn(() -> onFailure.accept(error));
          }
        });
  }

  @Override
  public boolean isOpen() {
    return channel.isOpen();
  }

  @Override
  public void close() {
    try {
      channel.close();
    } catch (IOException e) {
      LOG.log(Level.DEBUG, "closing the listener failed", e);
    }
  }
}
