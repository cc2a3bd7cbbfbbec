package bitternpulley.opensearch;

import bitternpulley.config.StrictJson;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Finds the total and the hits in the answer of a server to one part. */
final class PartHitsReader implements Closeable {
  private interface FieldReader {
    /** Reads the value that is the current token, to its last token. */
    void read(String name) throws IOException;
  }

  private final byte[] answer;
  private final JsonParser parser;
  private final List<PartHits.Hit> hits = new ArrayList<>();
  private boolean isIncomplete;
  private boolean hasHits;
  private boolean hasTotal;
  private long total = PartTotal.UNKNOWN;
  private boolean isExact = true;

  PartHitsReader(byte[] answer) throws IOException {
    this.answer = answer;
    this.parser = StrictJson.newParser(answer);
  }

  /** Reads the whole answer; empty if it does not cover the whole part or cannot be merged. */
  Optional<PartHits> read(boolean needsTotal) throws IOException {
    if (parser.nextToken() != JsonToken.START_OBJECT) {
      return Optional.empty();
    }
    readObject(this::readAnswerField);
    if (parser.nextToken() != null) {
      throw new JsonParseException(parser, "unexpected content after the value");
    }
    if (isIncomplete || !hasHits || (needsTotal && !hasTotal)) {
      return Optional.empty();
    }
    return Optional.of(new PartHits(new PartTotal(total, isExact), answer, hits));
  }

  private void readAnswerField(String name) throws IOException {
    switch (name) {
      case "timed_out", "terminated_early" -> isIncomplete |= parser.getValueAsBoolean(false);
      case "_shards" -> readObjectOrSkip(this::readShardsField);
      case "hits" -> readObjectOrSkip(this::readHitsField);
      default -> skip();
    }
  }

  private void readShardsField(String name) throws IOException {
    if (name.equals("failed")) {
      isIncomplete |= parser.getValueAsInt(0) > 0;
    }
    skip();
  }

  private void readHitsField(String name) throws IOException {
    switch (name) {
      case "total" -> readTotal();
      case "hits" -> readHits();
      default -> skip();
    }
  }

  private void readTotal() throws IOException {
    if (parser.currentToken() == JsonToken.START_OBJECT) {
      readObject(this::readTotalField);
    } else {
      readTotalValue();
    }
  }

  private void readTotalField(String name) throws IOException {
    switch (name) {
      case "value" -> readTotalValue();
      case "relation" -> {
        isExact = !"gte".equals(parser.getValueAsString());
        skip();
      }
      default -> skip();
    }
  }

  private void readTotalValue() throws IOException {
    if (parser.currentToken() == JsonToken.VALUE_NUMBER_INT) {
      total = parser.getLongValue();
      hasTotal = true;
    }
    skip();
  }

  private void readHits() throws IOException {
    hasHits = parser.currentToken() == JsonToken.START_ARRAY;
    if (!hasHits) {
      skip();
      return;
    }
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      readHit();
    }
  }

  private void readHit() throws IOException {
    if (parser.currentToken() != JsonToken.START_OBJECT) {
      throw new JsonParseException(parser, "a hit is not an object");
    }
    long start = parser.currentTokenLocation().getByteOffset();
    double[] score = {Double.NaN};
    readObject(
        name -> {
          if (name.equals("_score") && parser.currentToken().isNumeric()) {
            score[0] = parser.getDoubleValue();
          }
          skip();
        });
    long end = parser.currentLocation().getByteOffset();
    if (start < 0 || Double.isNaN(score[0])) {
      throw new JsonParseException(parser, "a hit has no score or is not in UTF-8");
    }
    hits.add(new PartHits.Hit(score[0], (int) start, (int) end));
  }

  private void readObjectOrSkip(FieldReader reader) throws IOException {
    if (parser.currentToken() == JsonToken.START_OBJECT) {
      readObject(reader);
    } else {
      skip();
    }
  }

  private void readObject(FieldReader reader) throws IOException {
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = parser.currentName();
      parser.nextToken();
      reader.read(name);
    }
  }

  /** Skips a value, checking it to the end: hits are passed on to clients as they were sent. */
  private void skip() throws IOException {
    int depth = 0;
    while (true) {
      JsonToken token = parser.currentToken();
      parser.finishToken();
      depth += token.isStructStart() ? 1 : 0;
      depth -= token.isStructEnd() ? 1 : 0;
      if (depth == 0) {
        return;
      }
      parser.nextToken();
    }
  }

  @Override
  public void close() throws IOException {
    parser.close();
  }
}
