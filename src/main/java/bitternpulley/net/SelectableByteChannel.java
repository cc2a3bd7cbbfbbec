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
 * Adapts a selectable channel to completion handlers, with at most one read and one write in
 * progress, as {@link Connection} requires.
 */
final class SelectableByteChannel implements AsynchronousByteChannel {
  private record PendingOperation<A>(
      ByteBuffer bytes, A attachment, CompletionHandler<Integer, ? super A> handler) {
    void completed(int count) {
      handler.completed(count, attachment);
    }

    void failed(IOException exception) {
      handler.failed(exception, attachment);
    }
  }

  private interface Transfer {
    int run(SocketChannel channel, ByteBuffer bytes) throws IOException;
  }

  private final SocketChannel channel;
  private final Selector selector;
  private final SelectionKey key;
  private volatile PendingOperation<?> pendingRead;
  private volatile PendingOperation<?> pendingWrite;

  /** Registers a connection; must be called on the selector thread. */
  SelectableByteChannel(SocketChannel channel, Selector selector) throws IOException {
    this.channel = channel;
    this.selector = selector;
    channel.configureBlocking(false);
    channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    key = channel.register(selector, 0);
    key.attach((Runnable) this::onReady);
  }

  @Override
  public <A> void read(ByteBuffer to, A attachment, CompletionHandler<Integer, ? super A> handler) {
    pendingRead = new PendingOperation<>(to, attachment, handler);
    awaitReadiness(SelectionKey.OP_READ);
  }

  @Override
  public <A> void write(
      ByteBuffer from, A attachment, CompletionHandler<Integer, ? super A> handler) {
    PendingOperation<A> operation = new PendingOperation<>(from, attachment, handler);
    int count;
    try {
      count = channel.write(from);
    } catch (IOException exception) {
      operation.failed(exception);
      return;
    }
    if (count > 0) {
      operation.completed(count);
    } else {
      pendingWrite = operation;
      awaitReadiness(SelectionKey.OP_WRITE);
    }
  }

  private void awaitReadiness(int operations) {
    if (key.isValid()) {
      key.interestOpsOr(operations);
      selector.wakeup();
    }
  }

  private void onReady() {
    if (key.isValid() && key.isReadable()) {
      PendingOperation<?> operation = pendingRead;
      key.interestOpsAnd(~SelectionKey.OP_READ);
      perform(operation, SocketChannel::read);
    }
    if (key.isValid() && key.isWritable()) {
      PendingOperation<?> operation = pendingWrite;
      key.interestOpsAnd(~SelectionKey.OP_WRITE);
      perform(operation, SocketChannel::write);
    }
  }

  private void perform(PendingOperation<?> operation, Transfer transfer) {
    int count;
    try {
      count = transfer.run(channel, operation.bytes());
    } catch (IOException exception) {
      operation.failed(exception);
      return;
    }
    operation.completed(count);
  }

  /** Shuts down this side of the connection. */
  void shutdownOutput() throws IOException {
    channel.shutdownOutput();
  }

  /**
   * Closes without completing pending operations, since their caller closes the channel. The
   * selector has to run once to release the descriptor.
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
    throw new UnsupportedOperationException("only reads with a completion handler are supported");
  }

  @Override
  public Future<Integer> write(ByteBuffer from) {
    CompletableFuture<Integer> result = new CompletableFuture<>();
    write(
        from,
        result,
        new CompletionHandler<Integer, CompletableFuture<Integer>>() {
          @Override
          public void completed(Integer count, CompletableFuture<Integer> future) {
            future.complete(count);
          }

          @Override
          public void failed(Throwable error, CompletableFuture<Integer> future) {
            future.completeExceptionally(error);
          }
        });
    return result;
  }
}
