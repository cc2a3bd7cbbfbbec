package bitternpulley.net;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Bytes that arrive in pieces, in an array that grows as needed and can be released. */
final class ByteAccumulator {
  private static final byte[] EMPTY = new byte[0];
  private static final int MIN_CAPACITY = 256;

  private byte[] bytes = EMPTY;
  private int size;

  /** Adds one byte. */
  void append(byte next) {
    ensureCapacity(size + 1);
    bytes[size++] = next;
  }

  /** Adds the remaining bytes of a buffer. */
  void append(ByteBuffer piece) {
    int count = piece.remaining();
    ensureCapacity(size + count);
    piece.get(bytes, size, count);
    size += count;
  }

  private void ensureCapacity(int needed) {
    if (needed > bytes.length) {
      bytes = Arrays.copyOf(bytes, Math.max(MIN_CAPACITY, nextPowerOfTwo(needed)));
    }
  }

  private static int nextPowerOfTwo(int number) {
    return Integer.highestOneBit(number - 1) << 1;
  }

  /** Returns the number of bytes. */
  int size() {
    return size;
  }

  /** Returns the heap that the bytes occupy, in bytes. */
  int capacity() {
    return bytes.length;
  }

  /** Returns the byte at an index. */
  byte get(int index) {
    return bytes[index];
  }

  /** Returns the bytes of a range as text, one character per byte. */
  String text(int from, int to) {
    return new String(bytes, from, to - from, StandardCharsets.ISO_8859_1);
  }

  /** Returns a copy of the bytes. */
  byte[] toByteArray() {
    return Arrays.copyOf(bytes, size);
  }

  /** Drops all bytes and releases the heap that they occupied. */
  void clear() {
    bytes = EMPTY;
    size = 0;
  }
}
