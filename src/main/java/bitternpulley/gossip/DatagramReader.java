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

  byte[] readBytes() throws IOException {
    if (parser.nextToken() != JsonToken.VALUE_EMBEDDED_OBJECT) {
      throw new MalformedDatagramException("expected a byte string");
    }
    return parser.getBinaryValue();
  }
}
