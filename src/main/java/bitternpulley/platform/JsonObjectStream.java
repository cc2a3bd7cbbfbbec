package bitternpulley.platform;

import bitternpulley.net.HttpException;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/**
 * Splits a stream of bytes into the JSON objects that it holds. Line ends do not matter: an object
 * may span several lines and arrive in pieces of any size. Between objects only white space is
 * allowed, whose line ends are reported as signs of life.
 */
final class JsonObjectStream {
  private static final int MAX_OBJECT_BYTES = 1 << 20;

  /** Receives what the stream holds, in order. */
  interface Sink {
    /** A complete object, in the bytes received. */
    void object(byte[] text);

    /** A line end between objects: the sender is alive. */
    void blankLine();
  }

  private final Sink sink;
  private ByteArrayOutputStream text = new ByteArrayOutputStream();
  private int depth;
  private boolean inString;
  private boolean escaped;

  JsonObjectStream(Sink sink) {
    this.sink = sink;
  }

  /** Reads further bytes; throws HttpException where the stream holds anything but objects. */
  void read(ByteBuffer bytes) {
    while (bytes.hasRemaining()) {
      byte next = bytes.get();
      if (depth == 0) {
        readBetweenObjects(next);
      } else {
        readWithinObject(next);
      }
    }
  }

  private void readBetweenObjects(byte next) {
    if (next == '{') {
      depth = 1;
      text.write(next);
    } else if (next == '\n') {
      sink.blankLine();
    } else if (next != ' ' && next != '\t' && next != '\r') {
      throw new HttpException(502, "the stream holds something other than an object");
    }
  }

  /**
   * Only braces are counted: in valid JSON the brackets of a list are closed before those of the
   * object around it, and the parser rejects all other texts.
   */
  private void readWithinObject(byte next) {
    if (text.size() >= MAX_OBJECT_BYTES) {
      throw new HttpException(502, "an object has more than " + MAX_OBJECT_BYTES + " bytes");
    }
    text.write(next);
    if (inString) {
      inString = escaped || next != '"';
      escaped = !escaped && next == '\\';
    } else if (next == '"') {
      inString = true;
    } else if (next == '{') {
      depth++;
    } else if (next == '}' && --depth == 0) {
      byte[] object = text.toByteArray();
      text = new ByteArrayOutputStream();
      sink.object(object);
    }
  }
}
