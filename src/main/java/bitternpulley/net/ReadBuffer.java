package bitternpulley.net;

import java.nio.ByteBuffer;

/**
 * The read buffer of one connection. Its size follows what the last read brought, because thousands
 * of connections to servers, nearly all of them idle, must not each hold the memory of a busy one.
 */
final class ReadBuffer {
  /** The largest size in bytes. */
  static final int MAX_BYTES = 8 * 1024;

  /** The smallest size in bytes where this program connects: several responses of a server. */
  static final int MIN_BYTES = 512;

  private static final int GROWTH_FACTOR = 4;

  /** The size in bytes to which the buffer shrinks after a small read. */
  private final int minBytes;

  private ByteBuffer buffer;

  ReadBuffer(int minBytes) {
    this.minBytes = minBytes;
    buffer = ByteBuffer.allocate(minBytes);
  }

  /** Returns the buffer, emptied for the next read. */
  ByteBuffer clear() {
    return buffer.clear();
  }

  /** Returns the buffer, set to hand out what was read. */
  ByteBuffer flip() {
    return buffer.flip();
  }

  /** Adapts the size for the next read to the bytes that the last one brought. */
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
