package bitternpulley.opensearch;

import java.io.OutputStream;

/** Counts the bytes written to it and drops them. */
final class LengthCounter extends OutputStream {
  private int length;

  @Override
  public void write(int value) {
    length++;
  }

  @Override
  public void write(byte[] bytes, int offset, int count) {
    length += count;
  }

  /** Returns the number of bytes written. */
  int length() {
    return length;
  }
}
