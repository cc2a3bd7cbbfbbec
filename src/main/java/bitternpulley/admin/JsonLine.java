package bitternpulley.admin;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;

/** Writes one JSON object as one line of text. */
final class JsonLine {
  private static final JsonFactory JSON = new JsonFactory();

  /** Writes the fields of the object. */
  interface Fields {
    void write(JsonGenerator json) throws IOException;
  }

  private JsonLine() {}

  static String of(Fields fields) {
    StringWriter line = new StringWriter();
    try (JsonGenerator json = JSON.createGenerator(line)) {
      json.writeStartObject();
      fields.write(json);
      json.writeEndObject();
    } catch (IOException exception) {
      throw new UncheckedIOException(exception);
    }
    return line.toString();
  }
}
