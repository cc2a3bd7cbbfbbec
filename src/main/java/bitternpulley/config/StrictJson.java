package bitternpulley.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/**
 * Parses a JSON text into a tree. Texts that two parsers could interpret differently are rejected:
 * those with a duplicate key or more than one value. Uses only the streaming parser, because an
 * {@code ObjectMapper} would slow down the start considerably.
 */
public final class StrictJson {
  /** Deeper nesting could overflow the stack of the threads that parse. */
  private static final int MAX_NESTING_DEPTH = 200;

  private static final JsonFactory FACTORY =
      JsonFactory.builder()
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .streamReadConstraints(
              StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING_DEPTH).build())
          .build();
  private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

  private StrictJson() {}

  /**
   * Parses a text that contains exactly one value.
   *
   * @throws IOException if the text is malformed, contains no value or continues after the value
   */
  public static JsonNode read(byte[] text) throws IOException {
    try (JsonParser parser = newParser(text)) {
      if (parser.nextToken() == null) {
        throw new JsonParseException(parser, "the text contains no value");
      }
      JsonNode value = value(parser);
      if (parser.nextToken() != null) {
        throw new JsonParseException(parser, "unexpected content after the value");
      }
      return value;
    }
  }

  /** Returns a parser with the same rules, for texts of which no tree is needed. */
  public static JsonParser newParser(byte[] text) throws IOException {
    return FACTORY.createParser(text);
  }

  /** Recursive; the parser limits the depth. */
  private static JsonNode value(JsonParser parser) throws IOException {
    return switch (parser.currentToken()) {
      case START_OBJECT -> object(parser);
      case START_ARRAY -> array(parser);
      case VALUE_STRING -> NODES.textNode(parser.getText());
      case VALUE_NUMBER_INT -> integer(parser);
      case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
      case VALUE_TRUE -> NODES.booleanNode(true);
      case VALUE_FALSE -> NODES.booleanNode(false);
      default -> NODES.nullNode();
    };
  }

  private static ObjectNode object(JsonParser parser) throws IOException {
    ObjectNode object = NODES.objectNode();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String key = parser.currentName();
      parser.nextToken();
      object.set(key, value(parser));
    }
    return object;
  }

  private static ArrayNode array(JsonParser parser) throws IOException {
    ArrayNode array = NODES.arrayNode();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      array.add(value(parser));
    }
    return array;
  }

  private static JsonNode integer(JsonParser parser) throws IOException {
    return switch (parser.getNumberType()) {
      case INT -> NODES.numberNode(parser.getIntValue());
      case LONG -> NODES.numberNode(parser.getLongValue());
      default -> NODES.numberNode(parser.getBigIntegerValue());
    };
  }
}
