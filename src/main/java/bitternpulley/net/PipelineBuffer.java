package bitternpulley.net;

import java.nio.ByteBuffer;

/** Holds the bytes of one client that arrive while an earlier request of it is in progress. */
final class PipelineBuffer {
  /** Bytes that are held of one client; what exceeds them is answered with an error in its turn. */
  private static final int MAX_BYTES = 256 * 1024;

  private static final ByteBuffer EMPTY = ByteBuffer.allocate(0);

  /** Filled up to the position. */
  private ByteBuffer buffer = EMPTY;

  /** Returns the number of bytes held. */
  int size() {
    return buffer.position();
  }

  /** Returns the number of bytes held once {@code bytes} are added. */
  int sizeWith(ByteBuffer bytes) {
    return buffer.position() + bytes.remaining();
  }

  /** Returns whether {@code size} bytes may be held. */
  static boolean fits(int size) {
    return size <= MAX_BYTES;
  }

  /** Adds bytes that fit. */
  void append(ByteBuffer bytes) {
    int size = sizeWith(bytes);
    if (size > buffer.capacity()) {
      buffer =
          ByteBuffer.allocate(Math.max(size, Math.min(MAX_BYTES, 2 * buffer.capacity())))
              .put(buffer.flip());
    }
    buffer.put(bytes);
  }

  /** Returns the bytes to be read; {@link #finishReading} or {@link #clear} follows. */
  ByteBuffer startReading() {
    return buffer.flip();
  }

  /** Keeps what was not read. */
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
