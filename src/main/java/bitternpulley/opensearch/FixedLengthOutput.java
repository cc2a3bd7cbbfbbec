package bitternpulley.opensearch;

import java.io.OutputStream;
import java.nio.ByteBuffer;

/** Collects a known number of bytes in an array of that length. */
final class FixedLengthOutput extends OutputStream {
  private final ByteBuffer buffer;

  FixedLengthOutput(int length) {
    buffer = ByteBuffer.allocate(length);
  }

  @Override
  public void write(int value) {
    buffer.put((byte) value);
  }

  @Override
  public void write(byte[] bytes, int offset, int count) {
    buffer.put(bytes, offset, count);
  }

  /** Returns the array, which is not copied. */
  byte[] bytes() {
    return buffer.array();
  }
}
