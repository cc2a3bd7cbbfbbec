package bitternpulley.gossip;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;

/** Reads the typed values of one datagram in order. */
final class DatagramReader {
  private final JsonParser parser;

  DatagramReader(JsonParser parser) {
    this.parser = parser;
  }

  /** Moves to the next token and returns it; null at the end. */
  JsonToken next() throws IOException {
    return parser.nextToken();
  }

  /** The text of the current token. */
  String currentText() throws IOException {
    return parser.getText();
  }

  void readArrayStart() throws IOException {
    if (parser.nextToken() != JsonToken.START_ARRAY) {
      throw new MalformedDatagramException("expected an array");
    }
  }

  int readInt() throws IOException {
    return toInt(readLong());
  }

  long readLong() throws IOException {
    if (parser.nextToken() != JsonToken.VALUE_NUMBER_INT) {
      throw new MalformedDatagramException("expected an integer");
    }
    return parser.getLongValue();
  }

  /** The integer of the current token, which is a number. */
  int currentInt() throws IOException {
    return toInt(parser.getLongValue());
  }

  private static int toInt(long value) throws MalformedDatagramException {
    if (value != (int) value) {
      throw new MalformedDatagramException("number " + value + " exceeds 32 bits");
    }
    return (int) value;
  }

  /**
   * Reads up to the end of the datagram, past elements of later versions.
   *
   * @param length length of the datagram in bytes
   * @param checksumBytes length of a checksum
   * @return whether the last element is a checksum; false where nothing more was in the datagram
   */
  boolean readEnd(int length, int checksumBytes) throws IOException {
    boolean isChecksum = false;
    boolean isEmpty = true;
    for (JsonToken token = next(); token != JsonToken.END_ARRAY; token = next()) {
      if (token == null) {
        throw new MalformedDatagramException("incomplete");
      }
      isChecksum =
          token == JsonToken.VALUE_EMBEDDED_OBJECT
              && parser.getBinaryValue().length == checksumBytes;
      isEmpty = false;
      parser.skipChildren();
    }
    if (parser.currentLocation().getByteOffset() != length) {
      throw new MalformedDatagramException("bytes behind its end");
    }
    if (!isChecksum && !isEmpty) {
      throw new MalformedDatagramException("no checksum behind its elements");
    }
    return isChecksum;
  }

  byte[] readBytes() throws IOException {
    if (parser.nextToken() != JsonToken.VALUE_EMBEDDED_OBJECT) {
      throw new MalformedDatagramException("expected a byte string");
    }
    return parser.getBinaryValue();
  }
}
