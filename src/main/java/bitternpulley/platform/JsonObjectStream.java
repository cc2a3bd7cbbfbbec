package bitternpulley.platform;

import bitternpulley.net.HttpException;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/**
 * Splits a stream of bytes into JSON objects. Line ends within an object do not matter: an object
 * may span several lines and arrive in pieces of any size. Only white space is allowed between
 * objects; its line ends are reported because the sender uses them as heartbeats.
 */
final class JsonObjectStream {
  private static final int MAX_OBJECT_BYTES = 1 << 20;

  /** Receives the contents of the stream, in order. */
  interface Sink {
    /** Receives the bytes of a complete object. */
    void object(byte[] text);

    /** Called at each line end between objects, which shows that the sender is alive. */
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

  /** Reads further bytes; throws HttpException if the stream contains anything but objects. */
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

  /** Returns the number of bytes of an object that has not been received completely. */
  int incompleteBytes() {
    return text.size();
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
   * Counts only braces: in valid JSON, an array within an object ends before the object does, and
   * the JSON parser rejects invalid text later.
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
