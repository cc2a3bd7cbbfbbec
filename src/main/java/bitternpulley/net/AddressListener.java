package bitternpulley.net;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.function.Consumer;

/** Listens on an address that this process binds itself. */
final class AddressListener implements Listener {
  private static final System.Logger LOG = System.getLogger(AddressListener.class.getName());

  private final EventLoop loop;
  private final AsynchronousServerSocketChannel channel;

  private AddressListener(EventLoop loop, AsynchronousServerSocketChannel channel) {
    this.loop = loop;
    this.channel = channel;
  }

  /** Binds an address; port 0 stands for any free port. */
  static AddressListener bind(EventLoop loop, HostPort address, int backlog) throws IOException {
    AsynchronousServerSocketChannel channel = AsynchronousServerSocketChannel.open(loop.group());
    channel.bind(address.address(), backlog);
    return new AddressListener(loop, channel);
  }

  /** Binds an address that other processes can bind at the same time with SO_REUSEPORT. */
  static AddressListener bindShared(EventLoop loop, HostPort address, int backlog)
      throws IOException {
    AsynchronousServerSocketChannel channel = AsynchronousServerSocketChannel.open(loop.group());
    channel.setOption(StandardSocketOptions.SO_REUSEPORT, true);
    channel.bind(address.address(), backlog);
    return new AddressListener(loop, channel);
  }

  /** Returns the port that was bound. */
  int port() throws IOException {
    return ((InetSocketAddress) channel.getLocalAddress()).getPort();
  }

  @Override
  public void accept(Consumer<Connection> onAccepted, Consumer<Throwable> onFailure) {
    double armedAt = loop.now();
    channel.accept(
        null,
        new CompletionHandler<AsynchronousSocketChannel, Void>() {
          @Override
          public void completed(AsynchronousSocketChannel accepted, Void attachment) {
            loop.runInSocketTurn(armedAt, () -> onAccepted.accept(new Connection(loop, accepted)));
          }

          @Override
          public void failed(Throwable error, Void attachment) {
            loop.runInTurn(() -> onFailure.accept(error));
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
    } catch (IOException exception) {
      LOG.log(Level.DEBUG, "Closing a listener failed", exception);
    }
  }
}
