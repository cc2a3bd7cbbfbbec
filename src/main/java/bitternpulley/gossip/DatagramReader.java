package bitternpulley.gossip;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;

/** Reads the values of one datagram in order and checks their types. */
final class DatagramReader {
  private final JsonParser parser;

  DatagramReader(JsonParser parser) {
    this.parser = parser;
  }

  /** Advances to the next token and returns it, or null at the end of the input. */
  JsonToken nextToken() throws IOException {
    return parser.nextToken();
  }

  /** Returns the text of the current token. */
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

  /** Returns the integer value of the current token, which must be a number. */
  int currentInt() throws IOException {
    return toInt(parser.getLongValue());
  }

  private static int toInt(long value) throws MalformedDatagramException {
    if (value != (int) value) {
      throw new MalformedDatagramException("integer " + value + " exceeds 32 bits");
    }
    return (int) value;
  }

  /**
   * Reads to the end of the datagram, skipping elements that later versions have added.
   *
   * @param length length of the datagram in bytes
   * @param checksumBytes length of a checksum in bytes
   * @return true if the last element is a checksum, false if there were no further elements
   */
  boolean readEnd(int length, int checksumBytes) throws IOException {
    boolean endsWithChecksum = false;
    boolean isEmpty = true;
    for (JsonToken token = nextToken(); token != JsonToken.END_ARRAY; token = nextToken()) {
      if (token == null) {
        throw new MalformedDatagramException("truncated");
      }
      endsWithChecksum =
          token == JsonToken.VALUE_EMBEDDED_OBJECT
              && parser.getBinaryValue().length == checksumBytes;
      isEmpty = false;
      parser.skipChildren();
    }
    if (parser.currentLocation().getByteOffset() != length) {
      throw new MalformedDatagramException("trailing bytes after the end of its array");
    }
    if (!endsWithChecksum && !isEmpty) {
      throw new MalformedDatagramException("its last element is not a checksum");
    }
    return endsWithChecksum;
  }

  byte[] readBytes() throws IOException {
    if (parser.nextToken() != JsonToken.VALUE_EMBEDDED_OBJECT) {
      throw new MalformedDatagramException("expected a byte string");
    }
    return parser.getBinaryValue();
  }
}
