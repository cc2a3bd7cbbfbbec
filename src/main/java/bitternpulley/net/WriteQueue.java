package bitternpulley.net;

import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousByteChannel;
import java.util.ArrayDeque;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;

/** Writes buffers to a channel in order, one at a time; all calls are made in turns of the loop. */
final class WriteQueue {
  private static final System.Logger LOG = System.getLogger(WriteQueue.class.getName());

  /**
   * Number of queued bytes beyond which nothing is added; a peer that reads too slowly for it is
   * disconnected. A single write may be larger, as a long response is.
   */
  private static final int MAX_PENDING_BYTES = 1 << 20;

  /**
   * Maximum number of bytes passed to the kernel at once. Bytes of the heap are copied to memory
   * outside of it first, which the process has little of.
   */
  private static final int MAX_WRITE_BYTES = 64 * 1024;

  /** Interval at which a write that the kernel could not take at once is checked. */
  private static final double WRITE_POLL_MS = 4;

  /** Maximum time that one write waits for the peer to read. */
  private static final double WRITE_STALL_TIMEOUT_MS = 3000;

  private record PendingWrite(ByteBuffer bytes, Runnable onWritten) {
    /** Returns the bytes to pass to the kernel next. */
    ByteBuffer nextPiece() {
      int count = Math.min(bytes.remaining(), MAX_WRITE_BYTES);
      return bytes.duplicate().limit(bytes.position() + count);
    }
  }

  private final EventLoop loop;
  private final AsynchronousByteChannel channel;
  private final Runnable onDrained;
  private final Runnable onFailure;
  private final ArrayDeque<PendingWrite> pendingWrites = new ArrayDeque<>();
  private boolean writing;
  private boolean closed;
  private int pendingBytes;
  private long completedWrites;
  private double lastProgressAt;

  /**
   * Creates a queue that runs {@code onDrained} after each flush that leaves it empty, and {@code
   * onFailure} when the connection cannot continue.
   */
  WriteQueue(
      EventLoop loop, AsynchronousByteChannel channel, Runnable onDrained, Runnable onFailure) {
    this.loop = loop;
    this.channel = channel;
    this.onDrained = onDrained;
    this.onFailure = onFailure;
  }

  /**
   * Adds bytes; {@code onWritten} runs once the kernel has taken the last of them. Returns false
   * when too many bytes are queued.
   */
  boolean add(ByteBuffer bytes, Runnable onWritten) {
    if (pendingBytes > MAX_PENDING_BYTES) {
      return false;
    }
    if (pendingWrites.isEmpty()) {
      lastProgressAt = loop.now();
    }
    pendingBytes += bytes.remaining();
    pendingWrites.add(new PendingWrite(bytes, onWritten));
    return true;
  }

  /** Removes queued bytes; returns false when the kernel may have taken some of them. */
  @SuppressWarnings("ReferenceEquality") // equal bytes may belong to another write
  boolean cancel(ByteBuffer bytes) {
    boolean removed =
        bytes.position() == 0
            && pendingWrites.removeIf(
                write -> write.bytes == bytes && !(writing && write == pendingWrites.peek()));
    pendingBytes -= removed ? bytes.remaining() : 0;
    return removed;
  }

  /** Writes as much as the kernel takes now. */
  void flush() {
    while (!writing && !closed && !pendingWrites.isEmpty()) {
      PendingWrite next = pendingWrites.peek();
      writing = true;
      Future<Integer> result = channel.write(next.nextPiece());
      recordProgress(next, result);
      if (writing) {
        pollWrite(next, result);
        failIfStalled(completedWrites);
      }
    }
    if (pendingWrites.isEmpty()) {
      onDrained.run();
    }
  }

  /**
   * Records what was written. Writes use a future, because only writes with a future start at once.
   * With a completion handler, a channel group of one thread postpones a write made in a timer's
   * turn, or after several others, until it has handled everything that arrived before. A response
   * decided in time would then be sent after its client has disconnected.
   */
  private void recordProgress(PendingWrite write, Future<Integer> result) {
    if (closed || !result.isDone()) {
      return;
    }
    try {
      int count = result.get();
      write.bytes.position(write.bytes.position() + count);
      pendingBytes -= count;
      writing = false;
      completedWrites++;
      lastProgressAt = loop.now();
      if (!write.bytes.hasRemaining()) {
        pendingWrites.poll();
        write.onWritten.run();
      }
    } catch (ExecutionException exception) {
      onFailure.run();
    } catch (InterruptedException exception) {
      throw new IllegalStateException("Interrupted although the write was complete", exception);
    } catch (RuntimeException | Error failure) {
      // Supervised boundary: a failed callback closes only its own connection.
      LOG.log(Level.ERROR, "Handling a completed write failed; closing the connection", failure);
      onFailure.run();
    }
  }

  /** Polls a write that waits for the peer to read; this is rare, so polling is sufficient. */
  private void pollWrite(PendingWrite write, Future<Integer> result) {
    loop.schedule(
        WRITE_POLL_MS,
        () -> {
          recordProgress(write, result);
          if (writing && !closed) {
            pollWrite(write, result);
          } else {
            flush();
          }
        });
  }

  /**
   * Fails a stalled write; a peer that stops reading would otherwise keep its connection forever.
   */
  private void failIfStalled(long completedBefore) {
    loop.schedule(
        WRITE_STALL_TIMEOUT_MS,
        () -> {
          if (writing && completedWrites == completedBefore) {
            onFailure.run();
          }
        });
  }

  /** Returns whether no writes are queued. */
  boolean isEmpty() {
    return pendingWrites.isEmpty();
  }

  /** Returns the number of queued bytes. */
  int pendingBytes() {
    return pendingBytes;
  }

  /** Returns how long ago in ms the kernel last took queued bytes; 0 if none are queued. */
  double msSinceProgress() {
    return pendingWrites.isEmpty() ? 0 : loop.now() - lastProgressAt;
  }

  /** Drops the queued writes; nothing is written afterwards. */
  void close() {
    closed = true;
    pendingWrites.clear();
  }
}
