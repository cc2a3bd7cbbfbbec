package bitternpulley.net;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.System.Logger.Level;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousByteChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.ArrayDeque;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;

/**
 * One TCP connection: reads handed to its owner piece by piece, writes in order with a word when
 * their last byte has gone. All calls come on the loop's thread, and the owner hears of the end
 * exactly once.
 */
public final class Connection {
  private static final System.Logger LOG = System.getLogger(Connection.class.getName());

  /** Bytes of a read at the most. */
  private static final int MAX_READ_BUFFER_BYTES = 8 * 1024;

  /**
   * Bytes of a read at first where the program connects: several of a server's answers; and how
   * that grows when one is full.
   */
  private static final int MIN_READ_BUFFER_BYTES = 512;

  private static final int READ_BUFFER_GROWTH_FACTOR = 4;

  /** Bytes that may wait to be written; a peer that reads so slowly is cut off. */
  private static final int MAX_PENDING_BYTES = 1 << 20;

  /**
   * Ms that a peer gets to end its side after we have ended ours, and the bytes read meanwhile at
   * most.
   */
  private static final double LINGER_MS = 2000;

  private static final long MAX_DISCARDED_BYTES = 96L << 20;

  /** Ms between looks at whether the machine has taken what it could not take at once. */
  private static final double WRITE_POLL_MS = 4;

  /** Ms that a write may wait for its peer to read. */
  private static final double WRITE_STALL_TIMEOUT_MS = 3000;

  /** What comes in to be dropped goes here, from all connections: nobody looks at it. */
  private static final ByteBuffer DISCARD_BUFFER = ByteBuffer.allocateDirect(512 * 1024);

  /**
   * Ms between such reads: few large ones cost far less than what comes as fast as it can be taken.
   */
  private static final double DISCARD_PAUSE_MS = 8;

  /** What the owner of a connection is told. */
  public interface Owner {
    /** Bytes have come; the buffer is lent for this call only. */
    void received(ByteBuffer bytes);

    /** The connection has ended, by whichever side. */
    void closed();
  }

  private record PendingWrite(ByteBuffer bytes, Runnable written) {}

  private final EventLoop loop;

  private interface OutputShutdown {
    void shutdown() throws IOException;
  }

  private final AsynchronousByteChannel channel;
  private final OutputShutdown output;
  private final ArrayDeque<PendingWrite> pendingWrites = new ArrayDeque<>();
  private ByteBuffer readBuffer;

  /** The size that the read buffer goes back to when little comes. */
  private final int minReadBuffer;

  private Owner owner;
  private boolean writing;
  private boolean closing;
  private boolean lingering;

  /** What comes in is read and dropped. */
  private boolean discarding;

  private boolean isEndedByPeer;
  private boolean closed;
  private boolean reading;
  private boolean paused;
  private int pendingBytes;
  private double linger = LINGER_MS;
  private long completedWrites;
  private long discardedBytes;

  private Connection(
      EventLoop loop, AsynchronousByteChannel channel, OutputShutdown output, int leastBuffer) {
    this.loop = loop;
    this.channel = channel;
    this.output = output;
    this.minReadBuffer = leastBuffer;
    readBuffer = ByteBuffer.allocate(leastBuffer);
  }

  /** A connection from a socket that was passed to the program. */
  Connection(EventLoop loop, SelectableByteChannel channel) {
    this(loop, channel, channel::shutdownOutput, MAX_READ_BUFFER_BYTES);
  }

  /** An accepted connection, whose requests are read in as few pieces as may be. */
  Connection(EventLoop loop, AsynchronousSocketChannel channel) {
    this(loop, channel, MAX_READ_BUFFER_BYTES);
  }

  private Connection(EventLoop loop, AsynchronousSocketChannel channel, int leastBuffer) {
    this(loop, channel, channel::shutdownOutput, leastBuffer);
    try {
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    } catch (IOException e) {
      LOG.log(Level.DEBUG, "no TCP_NODELAY", e);
    }
  }

  /**
   * Connects; the owner's {@code closed} tells of a refusal or of a connection that did not come up
   * in time.
   */
  public static Connection open(
      EventLoop loop, HostPort to, double timeout, Owner owner, Runnable connected) {
    try {
      AsynchronousSocketChannel channel = AsynchronousSocketChannel.open(loop.group());
      Connection made = new Connection(loop, channel, MIN_READ_BUFFER_BYTES);
      made.owner = owner;
      var alarm = loop.after(timeout, made::close);
      channel.connect(
          to.address(),
          null,
          handler(
              made,
              ignored -> {
                alarm.cancel(false);
                if (!made.closed) {
                  connected.run();
                  made.read();
                }
              }));
      return made;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Begins to read an accepted connection. */
  void start(Owner to) {
    owner = to;
    read();
  }

  private interface CompletionAction<T> {
    void run(T result);
  }

  private static <T> CompletionHandler<T, Void> handler(Connection of, CompletionAction<T> done) {
    double armed = of.loop.now();
    return new CompletionHandler<>() {
      @Override
      public void completed(T result, Void nothing) {
        of.loop.socketTurn(
            armed,
            () -> {
              try {
                done.run(result);
              } catch (RuntimeException e) {
                // Guards against one bad message ending more than its own connection.
                LOG.log(Level.ERROR, "a connection's handler failed", e);
                of.close();
              }
            });
      }

      @Override
      public void failed(Throwable error, Void nothing) {
        of.loop.inTurn(of::close);
      }
    };
  }

  private void read() {
    if (closed || reading || paused && !lingering) {
      return;
    }
    reading = true;
    boolean drops = discarding;
    readBuffer.clear();
    channel.read(
        drops ? DISCARD_BUFFER.duplicate() : readBuffer,
        null,
        handler(
            this,
            (Integer count) -> {
              isEndedByPeer |= count < 0;
              if (count < 0 || discarding && (discardedBytes += count) > MAX_DISCARDED_BYTES) {
                close();
              } else if (!closed && !discarding) {
                owner.received(readBuffer.flip());
                resize(count);
              }
              reading = false;
              if (drops && !closed) {
                loop.after(DISCARD_PAUSE_MS, this::read);
              } else {
                read();
              }
            }));
  }

  /**
   * The next read's buffer follows what the last one brought. Guards against thousands of links to
   * servers, nearly all of them idle, that each hold the memory of a busy one.
   */
  private void resize(int count) {
    int size = readBuffer.capacity();
    if (count == size && size < MAX_READ_BUFFER_BYTES) {
      readBuffer =
          ByteBuffer.allocate(Math.min(MAX_READ_BUFFER_BYTES, size * READ_BUFFER_GROWTH_FACTOR));
    } else if (size > minReadBuffer && count <= minReadBuffer / 2) {
      readBuffer = ByteBuffer.allocate(minReadBuffer);
    }
  }

  /** Bytes of the read buffer as it is now. */
  int readBufferSize() {
    return readBuffer.capacity();
  }

  /**
   * Reads no more until our side has ended: for a peer that may end its own and still waits for an
   * answer.
   */
  void pause() {
    paused = true;
  }

  /**
   * From now on what the peer sends is read and dropped, up to a bound. Its end is still seen, as
   * it would not be were nothing read any more.
   */
  void dropInput() {
    discarding = true;
  }

  /**
   * Writes bytes after what waits; {@code completedWrites} runs once the last of them has gone to
   * the machine.
   */
  public void write(ByteBuffer bytes, Runnable written) {
    if (closed || closing) {
      return;
    }
    pendingBytes += bytes.remaining();
    if (pendingBytes > MAX_PENDING_BYTES) {
      LOG.log(Level.WARNING, "a peer reads too slowly and is cut off");
      close();
      return;
    }
    pendingWrites.add(new PendingWrite(bytes, written));
    flush();
  }

  /** Takes back what waits to be written; false where a byte of it may have gone. */
  public boolean takeBack(ByteBuffer bytes) {
    boolean waits =
        bytes.position() == 0
            && pendingWrites.removeIf(
                p -> p.bytes == bytes && !(writing && p == pendingWrites.peek()));
    pendingBytes -= waits ? bytes.remaining() : 0;
    return waits;
  }

  private void flush() {
    while (!writing && !closed && !pendingWrites.isEmpty()) {
      PendingWrite next = pendingWrites.peek();
      writing = true;
      Future<Integer> attempt = channel.write(next.bytes);
      recordProgress(next, attempt);
      if (writing) {
        pollWrite(next, attempt);
        closeIfStalled(completedWrites);
      }
    }
    if (pendingWrites.isEmpty() && closing && !lingering && !closed) {
      linger();
    }
  }

  /**
   * Takes note of what has gone. By a future, as that alone is tried at once: with a handler a
   * group of one thread puts off what is written in an alarm's turn, or behind some others, till it
   * has been through all that came in before. Guards against answers that are decided in time and
   * go out when their clients have left.
   */
  private void recordProgress(PendingWrite next, Future<Integer> attempt) {
    if (closed || !attempt.isDone()) {
      return;
    }
    try {
      pendingBytes -= attempt.get();
      writing = false;
      completedWrites++;
      if (!next.bytes.hasRemaining()) {
        pendingWrites.poll();
        next.written.run();
      }
    } catch (ExecutionException e) {
      close();
    } catch (InterruptedException e) {
      throw new IllegalStateException("what is done is not waited for", e);
    } catch (RuntimeException e) {
      // Guards against one bad message ending more than its own connection.
      LOG.log(Level.ERROR, "a connection's handler failed", e);
      close();
    }
  }

  /**
   * The machine takes no more just now, as its peer does not read: a rare case, so it is looked at
   * now and then.
   */
  private void pollWrite(PendingWrite next, Future<Integer> attempt) {
    loop.after(
        WRITE_POLL_MS,
        () -> {
          recordProgress(next, attempt);
          if (writing && !closed) {
            pollWrite(next, attempt);
          } else {
            flush();
          }
        });
  }

  /** Guards against a peer that stops reading, whose connection would be held for good. */
  private void closeIfStalled(long before) {
    loop.after(
        WRITE_STALL_TIMEOUT_MS,
        () -> {
          if (writing && completedWrites == before) {
            close();
          }
        });
  }

  /**
   * Ends the connection once all that waits is written: a half-close, then a lingering close. Bytes
   * that cross it are read and dropped, so that no reset destroys what was written before.
   */
  public void closeGracefully() {
    closing = true;
    flush();
  }

  /** As above, where the peer gets at most so many ms to end its side. */
  void closeGracefully(double linger) {
    this.linger = linger;
    closeGracefully();
  }

  /**
   * Guards against a reset that overtakes the last answer, as a close with unread bytes causes: our
   * side is ended first, and what still comes is read and dropped until the peer ends its own.
   */
  private void linger() {
    lingering = true;
    discarding = true;
    try {
      output.shutdown();
      loop.after(linger, this::close);
      read();
    } catch (IOException e) {
      close();
    }
  }

  /** Whether all that was to be written has gone to the machine. */
  boolean hasWrittenAll() {
    return pendingWrites.isEmpty();
  }

  /** Whether our side has ended and the peer's has not. */
  boolean isLingering() {
    return lingering && !closed;
  }

  public boolean isClosed() {
    return closed;
  }

  /**
   * Whether the peer ended its side in order. Guards against a reset or a time-out that is taken
   * for an end.
   */
  boolean isEndedByPeer() {
    return isEndedByPeer;
  }

  /** Ends the connection at once. */
  public void close() {
    if (closed) {
      return;
    }
    closed = true;
    pendingWrites.clear();
    try {
      channel.close();
    } catch (IOException e) {
      LOG.log(Level.DEBUG, "a close failed", e);
    }
    loop.execute(owner::closed);
  }
}
