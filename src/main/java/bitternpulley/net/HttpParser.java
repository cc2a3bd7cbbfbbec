package bitternpulley.net;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Reads HTTP/1.1 messages from bytes that come in any pieces. Heads and bodies are bounded; what
 * breaks the grammar throws {@link HttpException}, after which the parser is of no more use.
 */
public final class HttpParser {
  /** Bytes of a start line and headers together, and of a chunk's size line with its extensions. */
  private static final int MAX_HEAD_BYTES = 16 * 1024;

  private static final int MAX_CHUNK_LINE_BYTES = 256;

  /** Told of a message as it comes in; the buffer of {@link #bodyBytes} is only lent. */
  public interface Sink {
    void head(HttpHead head);

    void body(ByteBuffer piece);

    void end();
  }

  private enum State {
    START,
    HEADERS,
    FIXED,
    TO_CLOSE,
    CHUNK_SIZE,
    CHUNK,
    CHUNK_END,
    TRAILERS
  }

  private final boolean responses;
  private final long maxBodyBytes;
  private final Sink sink;
  private final StringBuilder currentLine = new StringBuilder();
  private State state = State.START;
  private int headBytes;
  private String[] startLine;
  private Map<String, String> headers = new HashMap<>();
  private long remainingBytes;
  private long bodyBytes;

  /** A parser of requests or of responses whose bodies hold at most so many bytes. */
  public HttpParser(boolean responses, long mostBody, Sink sink) {
    this.responses = responses;
    this.maxBodyBytes = mostBody;
    this.sink = sink;
  }

  /** True between messages. */
  public boolean idle() {
    return state == State.START && currentLine.length() == 0;
  }

  /** The connection has ended: true when that completes a message or falls between two. */
  public boolean ended() {
    if (state == State.TO_CLOSE) {
      finish();
      return true;
    }
    return idle();
  }

  /** Reads until the bytes are used up or one message has ended; true in the latter case. */
  public boolean read(ByteBuffer in) {
    while (in.hasRemaining() || state == State.FIXED && remainingBytes == 0) {
      if (step(in)) {
        return true;
      }
    }
    return false;
  }

  private boolean step(ByteBuffer in) {
    switch (state) {
      case START -> {
        String text = takeLine(in, MAX_HEAD_BYTES);
        if (text != null && !text.isEmpty()) {
          startLine = startLine(text);
          state = State.HEADERS;
        }
      }
      case HEADERS -> {
        String text = takeLine(in, MAX_HEAD_BYTES);
        if (text != null && text.isEmpty()) {
          return finishHead();
        } else if (text != null) {
          parseHeader(text);
        }
      }
      case FIXED, CHUNK, TO_CLOSE -> {
        return readBody(in);
      }
      case CHUNK_SIZE -> {
        String text = takeLine(in, MAX_CHUNK_LINE_BYTES);
        if (text != null) {
          remainingBytes = parseChunkSize(text);
          state = remainingBytes == 0 ? State.TRAILERS : State.CHUNK;
        }
      }
      case CHUNK_END -> {
        String text = takeLine(in, MAX_CHUNK_LINE_BYTES);
        if (text != null) {
          require(text.isEmpty(), "a chunk is longer than its size");
          state = State.CHUNK_SIZE;
        }
      }
      default -> {
        String text = takeLine(in, MAX_HEAD_BYTES);
        if (text != null && text.isEmpty()) {
          return finish();
        }
      }
    }
    return false;
  }

  private boolean readBody(ByteBuffer in) {
    int size =
        state == State.TO_CLOSE ? in.remaining() : (int) Math.min(remainingBytes, in.remaining());
    if (size > 0) {
      countBody(size);
      ByteBuffer piece = in.slice(in.position(), size);
      in.position(in.position() + size);
      remainingBytes -= size;
      sink.body(piece);
    }
    if (state == State.CHUNK && remainingBytes == 0) {
      state = State.CHUNK_END;
    }
    return state == State.FIXED && remainingBytes == 0 && finish();
  }

  private void countBody(long size) {
    bodyBytes += size;
    if (bodyBytes > maxBodyBytes) {
      throw new HttpException(413, "a body holds at most " + maxBodyBytes + " bytes");
    }
  }

  /** A line without its end, or null while it is not complete. */
  private String takeLine(ByteBuffer in, int most) {
    while (in.hasRemaining()) {
      char c = (char) (in.get() & 0xff);
      if (++headBytes > MAX_HEAD_BYTES || currentLine.length() >= most) {
        throw new HttpException(431, "a head holds at most " + most + " bytes");
      }
      if (c == '\n') {
        int end = currentLine.length();
        String text =
            currentLine.substring(
                0, end > 0 && currentLine.charAt(end - 1) == '\r' ? end - 1 : end);
        currentLine.setLength(0);
        if (state == State.CHUNK_SIZE || state == State.CHUNK_END) {
          headBytes = 0;
        }
        return text;
      }
      currentLine.append(c);
    }
    return null;
  }

  private String[] startLine(String text) {
    String[] words = text.split(" ", 3);
    if (responses) {
      require(
          words.length >= 2
              && words[0].startsWith("HTTP/1.")
              && words[1].matches("[1-5][0-9][0-9]"),
          "not a status line");
      return new String[] {words[0], words[1], words.length > 2 ? words[2] : ""};
    }
    require(
        words.length == 3 && words[0].matches("[A-Z]+") && words[1].startsWith("/"),
        "not a request line");
    require(words[2].equals("HTTP/1.1") || words[2].equals("HTTP/1.0"), "not HTTP/1.1");
    return words;
  }

  private void parseHeader(String text) {
    int colon = text.indexOf(':');
    require(
        colon > 0 && text.substring(0, colon).matches("[!#$%&'*+.^_`|~0-9A-Za-z-]+"),
        "not a header");
    String name = text.substring(0, colon).toLowerCase(Locale.ROOT);
    String value = text.substring(colon + 1).strip();
    require(
        value.chars().allMatch(c -> c == '\t' || c >= ' ' && c != 0x7f), "not a header's value");
    String before = headers.putIfAbsent(name, value);
    // Guards against a body whose two ends disagree: a second length may not differ from the first.
    require(
        before == null || before.equals(value) || !name.equals("content-length"), "two lengths");
    if (before != null && !before.equals(value)) {
      headers.put(name, before + (name.equals("cookie") ? "; " : ", ") + value);
    }
  }

  private boolean finishHead() {
    HttpHead head = new HttpHead(startLine[0], startLine[1], startLine[2], Map.copyOf(headers));
    String length = head.header("content-length");
    String coding = head.header("transfer-encoding");
    require(length == null || coding == null, "a length and a transfer coding together");
    require(length == null || length.matches("[0-9]{1,12}"), "not a length");
    require(
        coding == null || coding.equalsIgnoreCase("chunked"),
        "a transfer coding other than chunked");
    boolean bodiless =
        responses
            && (startLine[1].startsWith("1")
                || startLine[1].equals("204")
                || startLine[1].equals("304"));
    remainingBytes = length == null || bodiless ? 0 : Long.parseLong(length);
    if (remainingBytes > maxBodyBytes) {
      throw new HttpException(413, "a body holds at most " + maxBodyBytes + " bytes");
    }
    sink.head(head);
    if (coding != null) {
      headBytes = 0;
      state = State.CHUNK_SIZE;
    } else {
      state = responses && length == null && !bodiless ? State.TO_CLOSE : State.FIXED;
    }
    return state == State.FIXED && remainingBytes == 0 && finish();
  }

  private boolean finish() {
    state = State.START;
    headers = new HashMap<>();
    headBytes = 0;
    bodyBytes = 0;
    sink.end();
    return true;
  }

  private static long parseChunkSize(String text) {
    int end = text.indexOf(';');
    String digits = (end < 0 ? text : text.substring(0, end)).strip();
    require(digits.matches("[0-9A-Fa-f]{1,8}"), "not a chunk size");
    return Long.parseLong(digits, 16);
  }

  private static void require(boolean holds, String otherwise) {
    if (!holds) {
      throw new HttpException(400, otherwise);
    }
  }
}
