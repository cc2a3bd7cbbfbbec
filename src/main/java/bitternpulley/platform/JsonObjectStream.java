package bitternpulley.platform;

import bitternpulley.net.HttpException;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/**
 * Cuts a stream of bytes into the JSON objects that it holds, wherever their lines end: an object
 * may be indented over several lines, and come in any pieces. Between objects there is white space
 * only, whose line ends are told as well.
 */
final class JsonObjectStream {
  private static final int MOST = 1 << 20;

  /** What is found. */
  interface Sink {
    void object(byte[] text);

    /** A line end between objects: the stream is alive. */
    void blank();
  }

  private final Sink sink;
  private ByteArrayOutputStream text = new ByteArrayOutputStream();
  private int depth;
  private boolean inString;
  private boolean escaped;

  JsonObjectStream(Sink sink) {
    this.sink = sink;
  }

  void read(ByteBuffer piece) {
    while (piece.hasRemaining()) {
      byte b = piece.get();
      if (depth == 0) {
        between(b);
      } else {
        within(b);
      }
    }
  }

  private void between(byte b) {
    if (b == '{') {
      depth = 1;
      text.write(b);
    } else if (b == '\n') {
      sink.blank();
    } else if (b != ' ' && b != '\t' && b != '\r') {
      throw new HttpException(502, "something other than an object");
    }
  }

  /**
   * Brackets of lists need no count: they close where the objects round them do, or the text is
   * none that can be read.
   */
  private void within(byte b) {
    if (text.size() >= MOST) {
      throw new HttpException(502, "a list holds at most " + MOST + " bytes");
    }
    text.write(b);
    if (inString) {
      inString = escaped || b != '"';
      escaped = !escaped && b == '\\';
    } else if (b == '"') {
      inString = true;
    } else if (b == '{') {
      depth++;
    } else if (b == '}' && --depth == 0) {
      byte[] whole = text.toByteArray();
      text = new ByteArrayOutputStream();
      sink.object(whole);
    }
  }
}
