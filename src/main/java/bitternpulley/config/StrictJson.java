package bitternpulley.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/**
 * Reads one JSON text into the library's tree by its streaming parser: a mapper, which binds
 * classes that nothing here asks for, took a fifth of a start. Guards against texts that two
 * readers would read differently: a key that comes twice, or more behind the value.
 */
public final class StrictJson {
  private static final JsonFactory FACTORY =
      JsonFactory.builder().enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build();
  private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

  private StrictJson() {}

  /** The value that the bytes are; throws IOException where they are not exactly one. */
  public static JsonNode read(byte[] text) throws IOException {
    try (JsonParser in = FACTORY.createParser(text)) {
      if (in.nextToken() == null) {
        throw new JsonParseException(in, "there is no value");
      }
      JsonNode value = value(in);
      if (in.nextToken() != null) {
        throw new JsonParseException(in, "there is more behind the value");
      }
      return value;
    }
  }

  /** The parser bounds how deep this may go. */
  private static JsonNode value(JsonParser in) throws IOException {
    return switch (in.currentToken()) {
      case START_OBJECT -> {
        ObjectNode object = NODES.objectNode();
        while (in.nextToken() != JsonToken.END_OBJECT) {
          String key = in.currentName();
          in.nextToken();
          object.set(key, value(in));
        }
        yield object;
      }
      case START_ARRAY -> {
        ArrayNode array = NODES.arrayNode();
        while (in.nextToken() != JsonToken.END_ARRAY) {
          array.add(value(in));
        }
        yield array;
      }
      case VALUE_STRING -> NODES.textNode(in.getText());
      case VALUE_NUMBER_INT ->
          in.getNumberType() == JsonParser.NumberType.INT
              ? NODES.numberNode(in.getIntValue())
              : in.getNumberType() == JsonParser.NumberType.LONG
                  ? NODES.numberNode(in.getLongValue())
                  : NODES.numberNode(in.getBigIntegerValue());
      case VALUE_NUMBER_FLOAT -> NODES.numberNode(in.getDoubleValue());
      case VALUE_TRUE -> NODES.booleanNode(true);
      case VALUE_FALSE -> NODES.booleanNode(false);
      default -> NODES.nullNode();
    };
  }
}
