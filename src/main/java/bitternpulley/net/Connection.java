package bitternpulley.net;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.System.Logger.Level;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousByteChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.concurrent.Future;

/**
 * One TCP connection. It passes received bytes to its owner as they arrive and writes buffers in
 * order, with a callback after the last byte of each. All calls are made in turns of the event
 * loop, and the owner is notified of the end exactly once.
 */
public final class Connection {
  private static final System.Logger LOG = System.getLogger(Connection.class.getName());

  /** Default time that the peer has to close its side after this side was shut down. */
  private static final double DEFAULT_LINGER_MS = 2000;

  /** Maximum number of bytes read and discarded before the connection is closed. */
  private static final long MAX_DISCARDED_BYTES = 96L << 20;

  /** Buffer for discarded input, shared by all connections; its content is never used. */
  private static final ByteBuffer DISCARD_BUFFER = ByteBuffer.allocateDirect(512 * 1024);

  /** Pause between discarding reads: few large reads cost far less than many small ones. */
  private static final double DISCARD_PAUSE_MS = 8;

  /** Receives the events of a connection. */
  public interface Owner {
    /** Handles bytes that arrived; the buffer is valid only during the call. */
    void received(ByteBuffer bytes);

    /** Handles the end of the connection, whichever side caused it. */
    void closed();
  }

  private interface OutputShutdown {
    void shutdown() throws IOException;
  }

  private interface CompletionAction<T> {
    void run(T result);
  }

  private final EventLoop loop;
  private final AsynchronousByteChannel channel;
  private final OutputShutdown output;
  private final WriteQueue writes;
  private final ReadBuffer readBuffer;
  private Owner owner;
  private boolean closing;
  private boolean lingering;

  /** Whether input is read and discarded. */
  private boolean discarding;

  private boolean endedByPeer;
  private boolean closed;
  private boolean reading;
  private boolean paused;

  /** Pause in ms before the next read. */
  private double readPause;

  private double lingerTimeout = DEFAULT_LINGER_MS;
  private long discardedBytes;

  /** Closes the connection when its connect or linger time is over; null before either begins. */
  private Future<?> closeTimer;

  private Connection(
      EventLoop loop, AsynchronousByteChannel channel, OutputShutdown output, int minReadBytes) {
    this.loop = loop;
    this.channel = channel;
    this.output = output;
    writes = new WriteQueue(loop, channel, this::lingerIfClosing, this::close);
    readBuffer = new ReadBuffer(minReadBytes);
  }

  /** Creates a connection that was accepted from an inherited listening socket. */
  Connection(EventLoop loop, SelectableByteChannel channel) {
    this(loop, channel, channel::shutdownOutput, ReadBuffer.MAX_BYTES);
  }

  /** Creates an accepted connection that reads requests in as few pieces as possible. */
  Connection(EventLoop loop, AsynchronousSocketChannel channel) {
    this(loop, channel, ReadBuffer.MAX_BYTES);
  }

  private Connection(EventLoop loop, AsynchronousSocketChannel channel, int minReadBytes) {
    this(loop, channel, channel::shutdownOutput, minReadBytes);
    try {
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    } catch (IOException exception) {
      LOG.log(Level.DEBUG, "Setting TCP_NODELAY failed", exception);
    }
  }

  /**
   * Connects within {@code timeout} ms and then runs {@code onConnected}. If the peer refuses the
   * connection or the time-out expires, the owner's {@code closed} is called.
   *
   * @throws UncheckedIOException when no socket can be opened
   */
  public static Connection open(
      EventLoop loop, HostPort address, double timeout, Owner owner, Runnable onConnected) {
    try {
      AsynchronousSocketChannel channel = AsynchronousSocketChannel.open(loop.group());
      Connection connection = new Connection(loop, channel, ReadBuffer.MIN_BYTES);
      connection.owner = owner;
      connection.connect(channel, address, timeout, onConnected);
      return connection;
    } catch (IOException exception) {
      throw new UncheckedIOException(exception);
    }
  }

  private void connect(
      AsynchronousSocketChannel socket, HostPort address, double timeout, Runnable onConnected) {
    closeTimer = loop.scheduleCancellable(timeout, this::close);
    socket.connect(
        address.address(),
        null,
        handler(
            ignored -> {
              closeTimer.cancel(false);
              if (!closed) {
                onConnected.run();
                read();
              }
            }));
  }

  /** Starts to read an accepted connection. */
  void start(Owner newOwner) {
    owner = newOwner;
    read();
  }

  private <T> CompletionHandler<T, Void> handler(CompletionAction<T> action) {
    double armedAt = loop.now();
    return new CompletionHandler<>() {
      @Override
      public void completed(T result, Void attachment) {
        loop.runInSocketTurn(armedAt, () -> runClosingOnError(action, result));
      }

      @Override
      public void failed(Throwable error, Void attachment) {
        loop.runInTurn(Connection.this::close);
      }
    };
  }

  /**
   * Supervised boundary: a failure in a handler closes only the connection concerned. Errors count
   * as well, because a connection that is not read any more would otherwise stay open for good.
   */
  private <T> void runClosingOnError(CompletionAction<T> action, T result) {
    try {
      action.run(result);
    } catch (RuntimeException | Error failure) {
      LOG.log(Level.ERROR, "The handler of a connection failed; closing the connection", failure);
      close();
    }
  }

  private void read() {
    if (closed || reading || (paused && !lingering)) {
      return;
    }
    reading = true;
    boolean discards = discarding;
    ByteBuffer empty = readBuffer.clear();
    channel.read(
        discards ? DISCARD_BUFFER.duplicate() : empty,
        null,
        handler((Integer count) -> readCompleted(count, discards)));
  }

  private void readCompleted(int count, boolean discarded) {
    endedByPeer |= count < 0;
    if (count < 0 || (discarding && (discardedBytes += count) > MAX_DISCARDED_BYTES)) {
      close();
    } else if (!closed && !discarding) {
      owner.received(readBuffer.flip());
      readBuffer.adapt(count);
    }
    reading = false;
    double pause = discarded ? DISCARD_PAUSE_MS : readPause;
    readPause = 0;
    if (pause > 0 && !closed) {
      loop.schedule(pause, this::read);
    } else {
      read();
    }
  }

  /** Leaves what arrives within the next {@code ms} in the kernel, to read it in one piece. */
  void delayNextRead(double ms) {
    readPause = ms;
  }

  /** Returns the current size of the read buffer in bytes. */
  int readBufferSize() {
    return readBuffer.capacity();
  }

  /**
   * Stops reading until this side is shut down, for a peer that may half-close the connection and
   * still wait for a response.
   */
  void pauseReading() {
    paused = true;
  }

  /**
   * Reads and discards all further input, up to a limit. Without reading, a close by the peer would
   * go unnoticed.
   */
  void discardInput() {
    discarding = true;
  }

  /** Queues bytes; {@code onWritten} runs once the kernel has taken the last of them. */
  public void write(ByteBuffer bytes, Runnable onWritten) {
    if (closed || closing) {
      return;
    }
    if (!writes.add(bytes, onWritten)) {
      LOG.log(
          Level.WARNING,
          "Closing a connection whose peer reads too slowly, queued bytes: "
              + writes.pendingBytes());
      close();
      return;
    }
    writes.flush();
  }

  /** Removes queued bytes; returns false when some of them may have been sent. */
  public boolean cancelWrite(ByteBuffer bytes) {
    return writes.cancel(bytes);
  }

  /**
   * Closes the connection once all queued bytes are written: a half-close, then a lingering close.
   * Bytes that the peer sends meanwhile are read and discarded, so that no reset destroys what was
   * written before.
   */
  public void closeGracefully() {
    closing = true;
    writes.flush();
  }

  /** Closes gracefully, giving the peer at most {@code lingerMs} to close its side. */
  void closeGracefully(double lingerMs) {
    lingerTimeout = lingerMs;
    closeGracefully();
  }

  private void lingerIfClosing() {
    if (closing && !lingering && !closed) {
      linger();
    }
  }

  /**
   * Shuts down this side, then reads and discards until the peer closes its own. Closing with
   * unread bytes would send a reset, which may overtake the last response.
   */
  private void linger() {
    lingering = true;
    discarding = true;
    try {
      output.shutdown();
      closeTimer = loop.scheduleCancellable(lingerTimeout, this::close);
      read();
    } catch (IOException exception) {
      close();
    }
  }

  /** Returns whether the kernel has taken all queued bytes. */
  boolean hasWrittenAll() {
    return writes.isEmpty();
  }

  /** Returns the number of queued bytes that the kernel has not taken. */
  int unwrittenBytes() {
    return closed ? 0 : writes.pendingBytes();
  }

  /** Returns how long ago in ms the kernel last took queued bytes; 0 if none are queued. */
  double msSinceWriteProgress() {
    return writes.msSinceProgress();
  }

  /** Returns whether this side is shut down and the peer's side is still open. */
  boolean isLingering() {
    return lingering && !closed;
  }

  /** Returns whether the connection has ended. */
  public boolean isClosed() {
    return closed;
  }

  /** Returns whether the peer closed its side in an orderly way, not by a reset or a time-out. */
  boolean isEndedByPeer() {
    return endedByPeer;
  }

  /** Closes the connection at once and releases its memory, whoever still refers to it. */
  public void close() {
    if (closed) {
      return;
    }
    closed = true;
    writes.close();
    readBuffer.release();
    if (closeTimer != null) {
      closeTimer.cancel(false);
    }
    try {
      channel.close();
    } catch (IOException exception) {
      LOG.log(Level.DEBUG, "Closing a connection failed", exception);
    }
    loop.execute(owner::closed);
  }
}
