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

/** Checks the document of an operators' script against its JSON schema. */
final class BrokerSchema {
  private static final String RESOURCE = "broker.schema.json";

  private BrokerSchema() {}

  /** Throws the first error by position in the document, so that one script has one message. */
  static void validate(BrokerScript script) {
    List<Error> errors = schema().validate(script.document().toString(), InputFormat.JSON);
    Optional<Error> first =
        errors.stream()
            .min(Comparator.comparing(BrokerSchema::pointer).thenComparing(Error::getMessage));
    if (first.isPresent()) {
      throw script.error(pointer(first.get()), first.get().getMessage());
    }
  }

  /** The pointer of the faulty key, even if that is missing or unknown. */
  private static String pointer(Error error) {
    String location = error.getInstanceLocation().toString();
    return error.getProperty() == null ? location : location + "/" + error.getProperty();
  }

  private static Schema schema() {
    try (InputStream resource = BrokerSchema.class.getResourceAsStream(RESOURCE)) {
      return SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
          .getSchema(resource);
    } catch (IOException unreadable) {
      throw new UncheckedIOException(unreadable);
    }
  }
}
