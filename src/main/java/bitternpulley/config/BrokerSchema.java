package bitternpulley.config;

import com.networknt.schema.Error;
import com.networknt.schema.InputFormat;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Validates the document of an operators' script against its JSON schema. */
final class BrokerSchema {
  private static final String RESOURCE = "broker.schema.json";

  private BrokerSchema() {}

  /**
   * Throws the error whose JSON pointer sorts first, so that a script always gives the same
   * message.
   */
  static void validate(BrokerScript script) {
    List<Error> errors = schema().validate(script.document().toString(), InputFormat.JSON);
    Optional<Error> first =
        errors.stream()
            .min(Comparator.comparing(BrokerSchema::pointer).thenComparing(Error::getMessage));
    if (first.isPresent()) {
      throw script.error(pointer(first.get()), first.get().getMessage());
    }
  }

  /**
   * Returns the JSON pointer of the faulty key. For a missing or unknown key, the location of the
   * error is the enclosing object, so that the key is appended.
   */
  private static String pointer(Error error) {
    String location = error.getInstanceLocation().toString();
    return error.getProperty() == null ? location : location + "/" + error.getProperty();
  }

  private static Schema schema() {
    try (InputStream resource = BrokerSchema.class.getResourceAsStream(RESOURCE)) {
      return SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
          .getSchema(resource);
    } catch (IOException exception) {
      throw new UncheckedIOException(exception);
    }
  }
}
