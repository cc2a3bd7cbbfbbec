package bitternpulley.net;

import java.nio.ByteBuffer;

/** Buffers the bytes that a client sends while its previous request is in progress. */
final class PipelineBuffer {
  /**
   * Maximum bytes buffered for one client. Requests beyond it are rejected after the responses to
   * the buffered requests.
   */
  private static final int MAX_BYTES = 256 * 1024;

  private static final ByteBuffer EMPTY = ByteBuffer.allocate(0);

  /** Contains the unread bytes from {@link #start} up to its position. */
  private ByteBuffer buffer = EMPTY;

  /** The index of the first unread byte. */
  private int start;

  /** Returns the number of buffered bytes. */
  int size() {
    return buffer.position() - start;
  }

  /** Returns the heap that the buffer occupies, in bytes. */
  int capacity() {
    return buffer.capacity();
  }

  /** Returns whether {@code bytes} can be added. */
  boolean fits(ByteBuffer bytes) {
    return size() + bytes.remaining() <= MAX_BYTES;
  }

  /** Adds bytes, for which {@link #fits} must be true. */
  void append(ByteBuffer bytes) {
    if (bytes.remaining() > buffer.remaining()) {
      makeSpaceFor(bytes.remaining());
    }
    buffer.put(bytes);
  }

  /** Moves the unread bytes to the start of the buffer or, if they need more, of a larger one. */
  private void makeSpaceFor(int count) {
    ByteBuffer unread = unread();
    int size = size() + count;
    if (size > buffer.capacity()) {
      buffer = ByteBuffer.allocate(Math.max(size, Math.min(MAX_BYTES, 2 * buffer.capacity())));
    } else {
      buffer.clear();
    }
    buffer.put(unread);
    start = 0;
  }

  private ByteBuffer unread() {
    return buffer.duplicate().flip().position(start);
  }

  /** Returns the bytes to read; the caller then calls {@link #finishReading} or {@link #clear}. */
  ByteBuffer startReading() {
    return unread();
  }

  /**
   * Keeps the bytes that were not read. They stay in place: moving them after each of many small
   * requests would take a time that is quadratic in their number.
   *
   * @param bytes the buffer that {@link #startReading} returned
   */
  void finishReading(ByteBuffer bytes) {
    start = bytes.position();
    if (size() == 0) {
      clear();
    }
  }

  /** Drops all bytes. */
  void clear() {
    buffer = EMPTY;
    start = 0;
  }
}
