package bitternpulley.net;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * The header lines of a head that has not ended yet. Each line is checked when it ends but kept as
 * it was sent: as a map, short headers would occupy many times the bytes of the head, and clients
 * may leave a head incomplete.
 */
final class HeaderLines {
  /** More headers cost many times what their bytes cost to receive. */
  private static final int MAX_HEADERS = 2048;

  private static final String TOKEN_SYMBOLS = "!#$%&'*+.^_`|~-";

  /** The complete lines, each with its line feed, then the current line. */
  private final ByteAccumulator bytes = new ByteAccumulator();

  /** Where the current line starts. */
  private int lineStart;

  /** The number of complete lines. */
  private int count;

  /** Adds a byte to the current line. */
  void append(byte next) {
    bytes.append(next);
  }

  /** Returns the number of bytes of the current line. */
  int currentLength() {
    return bytes.size() - lineStart;
  }

  /**
   * Ends the current line; returns false if it is empty, which ends the head.
   *
   * @throws HttpException when the line is not a header
   */
  boolean endLine() {
    int end = withoutReturn(lineStart, bytes.size());
    if (end == lineStart) {
      return false;
    }
    requireHeader(lineStart, end);
    if (++count > MAX_HEADERS) {
      throw new HttpException(431, "a head holds at most " + MAX_HEADERS + " headers");
    }
    bytes.append((byte) '\n');
    lineStart = bytes.size();
    return true;
  }

  /**
   * Returns the values of the complete lines by header name in lower case.
   *
   * @throws HttpException when headers contradict each other
   */
  Map<String, String> toMap() {
    Map<String, String> headers = new HashMap<>();
    Map<String, StringBuilder> joined = new HashMap<>();
    int start = 0;
    for (int index = 0; index < lineStart; index++) {
      if (bytes.get(index) == '\n') {
        addHeader(headers, joined, start, withoutReturn(start, index));
        start = index + 1;
      }
    }
    joined.forEach((name, values) -> headers.put(name, values.toString()));
    return headers;
  }

  /** Joins different values of one name, without copying the earlier ones for each. */
  private void addHeader(
      Map<String, String> headers, Map<String, StringBuilder> joined, int start, int end) {
    int colon = indexOfColon(start, end);
    String name = bytes.text(start, colon).toLowerCase(Locale.ROOT);
    String value = bytes.text(colon + 1, end).strip();
    String first = headers.putIfAbsent(name, value);
    if (first == null || (first.equals(value) && !joined.containsKey(name))) {
      return;
    }
    // Two different lengths would make it ambiguous where the body ends.
    HttpException.require(!name.equals("content-length"), "two lengths");
    joined
        .computeIfAbsent(name, key -> new StringBuilder(first))
        .append(name.equals("cookie") ? "; " : ", ")
        .append(value);
  }

  private void requireHeader(int start, int end) {
    int colon = indexOfColon(start, end);
    HttpException.require(colon > start && isToken(start, colon), "not a header");
    HttpException.require(isFieldValue(colon + 1, end), "not a header's value");
  }

  private boolean isToken(int from, int to) {
    for (int index = from; index < to; index++) {
      char next = charAt(index);
      boolean isAlphanumeric =
          (next >= '0' && next <= '9')
              || (next >= 'A' && next <= 'Z')
              || (next >= 'a' && next <= 'z');
      if (!isAlphanumeric && TOKEN_SYMBOLS.indexOf(next) < 0) {
        return false;
      }
    }
    return true;
  }

  /** Returns whether a range, without the white space around it, has no control characters. */
  private boolean isFieldValue(int from, int to) {
    int start = from;
    int end = to;
    while (start < end && Character.isWhitespace(charAt(start))) {
      start++;
    }
    while (start < end && Character.isWhitespace(charAt(end - 1))) {
      end--;
    }
    for (int index = start; index < end; index++) {
      char next = charAt(index);
      if (next != '\t' && (next < ' ' || next == 0x7f)) {
        return false;
      }
    }
    return true;
  }

  private int indexOfColon(int from, int to) {
    for (int index = from; index < to; index++) {
      if (bytes.get(index) == ':') {
        return index;
      }
    }
    return -1;
  }

  private int withoutReturn(int start, int end) {
    return end > start && bytes.get(end - 1) == '\r' ? end - 1 : end;
  }

  private char charAt(int index) {
    return (char) (bytes.get(index) & 0xff);
  }

  /** Returns the heap that the lines occupy, in bytes. */
  int heldBytes() {
    return bytes.capacity();
  }

  /** Drops all lines. */
  void clear() {
    bytes.clear();
    lineStart = 0;
    count = 0;
  }
}
