package bitternpulley.config;

import bitternpulley.routing.Settings;
import com.networknt.schema.Error;
import com.networknt.schema.InputFormat;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Reads the operators' script, which LB_BROKER names; no script means no contracts. */
public final class BrokerConfigurationReader {
  private static final long MOST_BYTES = 4L << 20;

  private BrokerConfigurationReader() {}

  /** The script's configuration, checked against the site's settings. */
  public static BrokerConfiguration read(Map<String, String> environment, Settings settings) {
    String named = environment.getOrDefault("LB_BROKER", "");
    return named.isEmpty() ? BrokerConfiguration.NONE : read(Path.of(named), Optional.of(settings));
  }

  /** The configuration of one file; without settings what only a site can tell is not checked. */
  public static BrokerConfiguration read(Path path, Optional<Settings> settings) {
    BrokerScript script = BrokerScript.evaluate(path.toString(), text(path));
    validate(script);
    return ContractsReader.read(script, settings);
  }

  private static String text(Path path) {
    try {
      if (Files.size(path) > MOST_BYTES) {
        throw new ConfigurationException(path + ": has more than " + MOST_BYTES + " bytes");
      }
      return Files.readString(path, StandardCharsets.UTF_8);
    } catch (CharacterCodingException e) {
      throw new ConfigurationException(path + ": is not text in UTF-8");
    } catch (IOException e) {
      throw new ConfigurationException("LB_BROKER: " + path + " cannot be read");
    }
  }

  /** The first fault in the order of the document, so that one text has one message. */
  private static void validate(BrokerScript script) {
    List<Error> faults = schema().validate(script.document().toString(), InputFormat.JSON);
    Optional<Error> first =
        faults.stream()
            .min(
                Comparator.comparing(BrokerConfigurationReader::pointer)
                    .thenComparing(Error::getMessage));
    first.ifPresent(
        fault -> {
          throw script.fault(pointer(fault), fault.getMessage());
        });
  }

  /** Of the key at fault: of what it stands in, where the key itself is missing or one too many. */
  private static String pointer(Error fault) {
    String at = fault.getInstanceLocation().toString();
    return fault.getProperty() == null ? at : at + "/" + fault.getProperty();
  }

  private static Schema schema() {
    try (InputStream in =
        BrokerConfigurationReader.class.getResourceAsStream("broker.schema.json")) {
      return SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12).getSchema(in);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
