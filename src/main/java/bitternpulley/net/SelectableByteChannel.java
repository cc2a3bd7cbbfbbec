package bitternpulley.net;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousByteChannel;
import java.nio.channels.CompletionHandler;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;

/**
 * A selectable channel with completion handlers: at most one read and one write at a time, as
 * {@link Connection} has.
 */
final class SelectableByteChannel implements AsynchronousByteChannel {
  private record PendingOperation<A>(
      ByteBuffer bytes, A attachment, CompletionHandler<Integer, ? super A> handler) {
    void completed(int count) {
      handler.completed(count, attachment);
    }

    void failed(IOException e) {
      handler.failed(e, attachment);
    }
  }

  private final SocketChannel channel;
  private final Selector selector;
  private final SelectionKey key;
  private volatile PendingOperation<?> reader;
  private volatile PendingOperation<?> writer;

  /** Called on the selector's thread. */
  SelectableByteChannel(SocketChannel channel, Selector selector) throws IOException {
    this.channel = channel;
    this.selector = selector;
    channel.configureBlocking(false);
    channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    key = channel.register(selector, 0);
    key.attach((Runnable) this::ready);
  }

  @Override
  public <A> void read(ByteBuffer to, A attachment, CompletionHandler<Integer, ? super A> handler) {
    reader = new PendingOperation<>(to, attachment, handler);
    await(SelectionKey.OP_READ);
  }

  @Override
  public <A> void write(
      ByteBuffer from, A attachment, CompletionHandler<Integer, ? super A> handler) {
    PendingOperation<A> wait = new PendingOperation<>(from, attachment, handler);
    int count;
    try {
      count = channel.write(from);
    } catch (IOException e) {
      wait.failed(e);
      return;
    }
    if (count > 0) {
      wait.completed(count);
    } else {
      writer = wait;
      await(SelectionKey.OP_WRITE);
    }
  }

  private void await(int what) {
    if (key.isValid()) {
      key.interestOpsOr(what);
      selector.wakeup();
    }
  }

  private void ready() {
    if (key.isValid() && key.isReadable()) {
      PendingOperation<?> now = reader;
      key.interestOpsAnd(~SelectionKey.OP_READ);
      perform(now, true);
    }
    if (key.isValid() && key.isWritable()) {
      PendingOperation<?> now = writer;
      key.interestOpsAnd(~SelectionKey.OP_WRITE);
      perform(now, false);
    }
  }

  private void perform(PendingOperation<?> wait, boolean reads) {
    int count;
    try {
      count = reads ? channel.read(wait.bytes()) : channel.write(wait.bytes());
    } catch (IOException e) {
      wait.failed(e);
      return;
    }
    wait.completed(count);
  }

  void shutdownOutput() throws IOException {
    channel.shutdownOutput();
  }

  /**
   * What waits is not told: whoever closes a connection is done with it. The selector must look, to
   * free it.
   */
  @Override
  public void close() throws IOException {
    channel.close();
    selector.wakeup();
  }

  @Override
  public boolean isOpen() {
    return channel.isOpen();
  }

  @Override
  public Future<Integer> read(ByteBuffer to) {
    throw new UnsupportedOperationException("this program reads by completion handlers only");
  }

  @Override
  public Future<Integer> write(ByteBuffer from) {
    CompletableFuture<Integer> done = new CompletableFuture<>();
    write(
        from,
        done,
        new CompletionHandler<Integer, CompletableFuture<Integer>>() {
          @Override
          public void completed(Integer count, CompletableFuture<Integer> to) {
            to.complete(count);
          }

          @Override
          public void failed(Throwable error, CompletableFuture<Integer> to) {
            to.completeExceptionally(error);
          }
        });
    return done;
  }
}
