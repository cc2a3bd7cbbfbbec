package bitternpulley.net;

import java.nio.ByteBuffer;

/**
 * The read buffer of one connection. Its size follows the size of the last read, because thousands
 * of connections to servers, nearly all of them idle, must not each use the memory of a busy one.
 */
final class ReadBuffer {
  /** Maximum size in bytes. */
  static final int MAX_BYTES = 8 * 1024;

  /** Minimum size in bytes for outgoing connections; several responses of a server fit. */
  static final int MIN_BYTES = 512;

  private static final int GROWTH_FACTOR = 4;

  private static final ByteBuffer EMPTY = ByteBuffer.allocate(0);

  /** The size in bytes to which the buffer shrinks after a small read. */
  private final int minBytes;

  private ByteBuffer buffer;

  ReadBuffer(int minBytes) {
    this.minBytes = minBytes;
    buffer = ByteBuffer.allocate(minBytes);
  }

  /** Releases the memory of the buffer, which must not be used any more. */
  void release() {
    buffer = EMPTY;
  }

  /** Returns the buffer, emptied for the next read. */
  ByteBuffer clear() {
    return buffer.clear();
  }

  /** Returns the buffer, prepared for consuming the bytes that were read. */
  ByteBuffer flip() {
    return buffer.flip();
  }

  /** Adapts the size for the next read to the number of bytes of the last one. */
  void adapt(int count) {
    int size = buffer.capacity();
    if (count == size && size < MAX_BYTES) {
      buffer = ByteBuffer.allocate(Math.min(MAX_BYTES, size * GROWTH_FACTOR));
    } else if (size > minBytes && count <= minBytes / 2) {
      buffer = ByteBuffer.allocate(minBytes);
    }
  }

  /** Returns the current size in bytes. */
  int capacity() {
    return buffer.capacity();
  }
}
