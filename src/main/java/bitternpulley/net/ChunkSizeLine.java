package bitternpulley.net;

import static bitternpulley.net.HttpException.require;

/**
 * Parses the line before a chunk byte by byte, without keeping it: a body may consist of thousands
 * of chunks of one byte each.
 */
final class ChunkSizeLine {
  /** Maximum size of the line, with its extensions. */
  private static final int MAX_LINE_BYTES = 256;

  private static final int MAX_DIGITS = 8;
  private static final int RADIX = 16;

  /** What the next byte may be. */
  private enum State {
    BEFORE_DIGITS,
    DIGITS,
    AFTER_DIGITS,
    EXTENSION
  }

  private State state = State.BEFORE_DIGITS;
  private int length;
  private int digits;
  private long size;

  /**
   * Handles the next byte of the line; returns true when it ends the line.
   *
   * @throws HttpException when the line is too long or does not begin with a size
   */
  boolean accept(byte next) {
    if (++length > MAX_LINE_BYTES) {
      throw new HttpException(431, "a head holds at most " + MAX_LINE_BYTES + " bytes");
    }
    if (next == '\n') {
      require(digits > 0, "not a chunk size");
      return true;
    }
    if (state != State.EXTENSION) {
      acceptBeforeExtension(next);
    }
    return false;
  }

  private void acceptBeforeExtension(byte next) {
    int digit = Character.digit((char) (next & 0xff), RADIX);
    if (next == ';') {
      require(digits > 0, "not a chunk size");
      state = State.EXTENSION;
    } else if (digit >= 0 && next > 0) {
      require(state != State.AFTER_DIGITS && ++digits <= MAX_DIGITS, "not a chunk size");
      state = State.DIGITS;
      size = RADIX * size + digit;
    } else {
      require(Character.isWhitespace((char) (next & 0xff)), "not a chunk size");
      state = state == State.DIGITS ? State.AFTER_DIGITS : state;
    }
  }

  /** Returns the size of the chunk, once the line has ended. */
  long size() {
    return size;
  }

  /** Begins a new line. */
  void reset() {
    state = State.BEFORE_DIGITS;
    length = 0;
    digits = 0;
    size = 0;
  }
}
