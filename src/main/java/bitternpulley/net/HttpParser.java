package bitternpulley.net;

import static bitternpulley.net.HttpException.require;

import java.nio.ByteBuffer;
import java.util.Collections;
import java.util.regex.Pattern;

/**
 * Parses HTTP/1.1 messages from bytes that arrive in pieces of any size. Heads and bodies are
 * bounded; a violation of the grammar or of a bound throws {@link HttpException}, after which the
 * parser must not be used any more.
 */
public final class HttpParser {
  /** Maximum size of a start line and headers together, and of the trailers. */
  private static final int MAX_HEAD_BYTES = 16 * 1024;

  /**
   * Bytes by which the lines between the chunks of a body may exceed its data. Very many small
   * chunks cost many times what their data costs to receive.
   */
  private static final int MAX_CHUNK_OVERHEAD_BYTES = 16 * 1024;

  private static final Pattern METHOD = Pattern.compile("[A-Z]+");
  private static final Pattern STATUS = Pattern.compile("[1-5][0-9][0-9]");
  private static final Pattern CONTENT_LENGTH = Pattern.compile("[0-9]{1,12}");

  /** Receives messages as they are parsed. */
  public interface Sink {
    /** Handles the start line and headers of a message. */
    void head(HttpHead head);

    /** Handles a piece of the body; the buffer is valid only during the call. */
    void body(ByteBuffer piece);

    /** Handles the end of the message. */
    void end();
  }

  /** The part of a message to which the next byte belongs. */
  private enum State {
    START_LINE,
    HEADERS,
    FIXED_LENGTH_BODY,
    BODY_UNTIL_CLOSE,
    CHUNK_SIZE,
    CHUNK_DATA,
    CHUNK_END,
    TRAILERS
  }

  private final boolean parsesResponses;
  private final long maxBodyBytes;
  private final Sink sink;

  /** The current line, unless it is a header. */
  private final ByteAccumulator currentLine = new ByteAccumulator();

  private final HeaderLines headerLines = new HeaderLines();
  private final ChunkSizeLine chunkSizeLine = new ChunkSizeLine();

  /** Whether a carriage return has come after the data of a chunk. */
  private boolean chunkEndHasReturn;

  /** Bytes of the lines between the chunks of the current body. */
  private long chunkOverheadBytes;

  private State state = State.START_LINE;
  private int headBytes;

  /** The words of the start line; of a response: version, status, reason phrase. */
  private String method = "";

  private String target = "";
  private String version = "";

  /** Remaining bytes of a fixed-length body or of a chunk. */
  private long remainingBytes;

  private long bodyBytes;

  /**
   * Creates a parser.
   *
   * @param parsesResponses whether to parse responses; otherwise requests
   * @param maxBodyBytes maximum size of a body
   * @param sink receives the messages
   */
  public HttpParser(boolean parsesResponses, long maxBodyBytes, Sink sink) {
    this.parsesResponses = parsesResponses;
    this.maxBodyBytes = maxBodyBytes;
    this.sink = sink;
  }

  /** Returns true when no message is incomplete. */
  public boolean isBetweenMessages() {
    return state == State.START_LINE && currentLine.size() == 0;
  }

  /**
   * Handles the end of the connection; returns true when it completes a message or when no message
   * is incomplete.
   */
  public boolean handleEndOfConnection() {
    if (state == State.BODY_UNTIL_CLOSE) {
      finish();
      return true;
    }
    return isBetweenMessages();
  }

  /**
   * Parses until the bytes are used up or one message has ended; returns true in the latter case.
   *
   * @throws HttpException when a message violates HTTP/1.1 or a limit
   */
  public boolean read(ByteBuffer in) {
    while (in.hasRemaining() || (state == State.FIXED_LENGTH_BODY && remainingBytes == 0)) {
      if (step(in)) {
        return true;
      }
    }
    return false;
  }

  private boolean step(ByteBuffer in) {
    return switch (state) {
      case START_LINE -> readStartLine(in);
      case HEADERS -> readHeader(in);
      case FIXED_LENGTH_BODY, CHUNK_DATA, BODY_UNTIL_CLOSE -> readBody(in);
      case CHUNK_SIZE -> readChunkSize(in);
      case CHUNK_END -> readChunkEnd(in);
      case TRAILERS -> readTrailer(in);
    };
  }

  private boolean readStartLine(ByteBuffer in) {
    String line = takeLine(in, MAX_HEAD_BYTES);
    if (line != null && !line.isEmpty()) {
      parseStartLine(line);
      state = State.HEADERS;
    }
    return false;
  }

  private boolean readHeader(ByteBuffer in) {
    while (in.hasRemaining()) {
      byte next = in.get();
      countHeadByte(headerLines.currentLength(), MAX_HEAD_BYTES);
      if (next == '\n') {
        return !headerLines.endLine() && finishHead();
      }
      headerLines.append(next);
    }
    return false;
  }

  private boolean readBody(ByteBuffer in) {
    int size =
        state == State.BODY_UNTIL_CLOSE
            ? in.remaining()
            : (int) Math.min(remainingBytes, in.remaining());
    if (size > 0) {
      countBody(size);
      ByteBuffer piece = in.duplicate().limit(in.position() + size);
      in.position(in.position() + size);
      remainingBytes -= size;
      sink.body(piece);
    }
    if (state == State.CHUNK_DATA && remainingBytes == 0) {
      state = State.CHUNK_END;
    }
    return state == State.FIXED_LENGTH_BODY && remainingBytes == 0 && finish();
  }

  private boolean readChunkSize(ByteBuffer in) {
    while (in.hasRemaining()) {
      countChunkOverhead();
      if (chunkSizeLine.accept(in.get())) {
        remainingBytes = chunkSizeLine.size();
        chunkSizeLine.reset();
        state = remainingBytes == 0 ? State.TRAILERS : State.CHUNK_DATA;
        return false;
      }
    }
    return false;
  }

  private void countChunkOverhead() {
    if (++chunkOverheadBytes > MAX_CHUNK_OVERHEAD_BYTES + bodyBytes) {
      throw new HttpException(413, "the chunks of the body are too small");
    }
  }

  private boolean readChunkEnd(ByteBuffer in) {
    countChunkOverhead();
    byte next = in.get();
    if (next == '\n') {
      chunkEndHasReturn = false;
      state = State.CHUNK_SIZE;
    } else {
      require(next == '\r' && !chunkEndHasReturn, "a chunk is longer than its size");
      chunkEndHasReturn = true;
    }
    return false;
  }

  private boolean readTrailer(ByteBuffer in) {
    String line = takeLine(in, MAX_HEAD_BYTES);
    return line != null && line.isEmpty() && finish();
  }

  private void countBody(long size) {
    bodyBytes += size;
    requireBodySize(bodyBytes);
  }

  private void requireBodySize(long size) {
    if (size > maxBodyBytes) {
      throw new HttpException(413, "a body holds at most " + maxBodyBytes + " bytes");
    }
  }

  /** Returns a line without its line end, or null while the line is incomplete. */
  private String takeLine(ByteBuffer in, int maxBytes) {
    while (in.hasRemaining()) {
      byte next = in.get();
      countHeadByte(currentLine.size(), maxBytes);
      if (next == '\n') {
        return finishLine();
      }
      currentLine.append(next);
    }
    return null;
  }

  private void countHeadByte(int lineLength, int maxLineBytes) {
    if (++headBytes > MAX_HEAD_BYTES || lineLength >= maxLineBytes) {
      throw new HttpException(431, "a head holds at most " + maxLineBytes + " bytes");
    }
  }

  private String finishLine() {
    int end = currentLine.size();
    boolean endsWithReturn = end > 0 && currentLine.get(end - 1) == '\r';
    String line = currentLine.text(0, endsWithReturn ? end - 1 : end);
    currentLine.clear();
    return line;
  }

  private void parseStartLine(String line) {
    String[] words = line.split(" ", 3);
    if (parsesResponses) {
      require(
          words.length >= 2 && words[0].startsWith("HTTP/1.") && STATUS.matcher(words[1]).matches(),
          "not a status line");
    } else {
      require(
          words.length == 3 && METHOD.matcher(words[0]).matches() && words[1].startsWith("/"),
          "not a request line");
      require(words[2].equals("HTTP/1.1") || words[2].equals("HTTP/1.0"), "not HTTP/1.1");
    }
    method = words[0];
    target = words[1];
    version = words.length > 2 ? words[2] : "";
  }

  private boolean finishHead() {
    HttpHead head =
        new HttpHead(method, target, version, Collections.unmodifiableMap(headerLines.toMap()));
    headerLines.clear();
    String length = head.header("content-length");
    String transferCoding = head.header("transfer-encoding");
    require(length == null || transferCoding == null, "a length and a transfer coding together");
    require(length == null || CONTENT_LENGTH.matcher(length).matches(), "not a length");
    require(
        transferCoding == null || transferCoding.equalsIgnoreCase("chunked"),
        "a transfer coding other than chunked");
    boolean bodiless = isBodilessResponse();
    remainingBytes = length == null || bodiless ? 0 : Long.parseLong(length);
    requireBodySize(remainingBytes);
    sink.head(head);
    if (transferCoding != null) {
      headBytes = 0;
      state = State.CHUNK_SIZE;
    } else {
      state =
          parsesResponses && length == null && !bodiless
              ? State.BODY_UNTIL_CLOSE
              : State.FIXED_LENGTH_BODY;
    }
    return state == State.FIXED_LENGTH_BODY && remainingBytes == 0 && finish();
  }

  /** Returns whether a response has no body because of its status, which is its target. */
  private boolean isBodilessResponse() {
    return parsesResponses
        && (target.startsWith("1") || target.equals("204") || target.equals("304"));
  }

  private boolean finish() {
    state = State.START_LINE;
    clearStartLine();
    headBytes = 0;
    bodyBytes = 0;
    chunkOverheadBytes = 0;
    sink.end();
    return true;
  }

  private void clearStartLine() {
    method = "";
    target = "";
    version = "";
  }

  /** Returns the heap that an incomplete message occupies in this parser, in bytes. */
  int heldBytes() {
    return currentLine.capacity()
        + headerLines.heldBytes()
        + method.length()
        + target.length()
        + version.length();
  }

  /** Drops an incomplete message; the parser must not be used any more. */
  void discard() {
    currentLine.clear();
    headerLines.clear();
    clearStartLine();
  }
}
