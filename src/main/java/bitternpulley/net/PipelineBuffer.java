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

  /** Contains bytes up to its position. */
  private ByteBuffer buffer = EMPTY;

  /** Returns the number of buffered bytes. */
  int size() {
    return buffer.position();
  }

  /** Returns the heap that the buffer occupies, in bytes. */
  int capacity() {
    return buffer.capacity();
  }

  /** Returns whether {@code bytes} can be added. */
  boolean fits(ByteBuffer bytes) {
    return sizeWith(bytes) <= MAX_BYTES;
  }

  private int sizeWith(ByteBuffer bytes) {
    return buffer.position() + bytes.remaining();
  }

  /** Adds bytes, for which {@link #fits} must be true. */
  void append(ByteBuffer bytes) {
    int size = sizeWith(bytes);
    if (size > buffer.capacity()) {
      buffer =
          ByteBuffer.allocate(Math.max(size, Math.min(MAX_BYTES, 2 * buffer.capacity())))
              .put(buffer.flip());
    }
    buffer.put(bytes);
  }

  /** Returns the bytes to read; the caller then calls {@link #finishReading} or {@link #clear}. */
  ByteBuffer startReading() {
    return buffer.flip();
  }

  /** Keeps the bytes that were not read. */
  void finishReading() {
    buffer.compact();
    if (buffer.position() == 0) {
      buffer = EMPTY;
    }
  }

  /** Drops all bytes. */
  void clear() {
    buffer = EMPTY;
  }
}
