package bitternpulley.config;

import bitternpulley.contracts.ContractSet;
import bitternpulley.routing.Settings;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;

/** Reads the operators' script named by LB_BROKER. Without a script, there are no contracts. */
public final class BrokerConfigurationReader {
  private static final String SCRIPT_VARIABLE = "LB_BROKER";
  private static final long MAX_BYTES = 4L << 20;

  private BrokerConfigurationReader() {}

  /** Reads the script named by LB_BROKER and checks it against the settings. */
  public static BrokerConfiguration read(Map<String, String> environment, Settings settings) {
    String file = environment.getOrDefault(SCRIPT_VARIABLE, "");
    return file.isEmpty() ? BrokerConfiguration.NONE : read(Path.of(file), Optional.of(settings));
  }

  /** Reads a script and checks it against the settings, if they are given. */
  public static BrokerConfiguration read(Path path, Optional<Settings> settings) {
    BrokerScript script = BrokerScript.evaluate(path.toString(), readText(path));
    BrokerSchema.validate(script);
    return configuration(script, settings);
  }

  private static String readText(Path path) {
    String file = path.toString();
    try {
      if (Files.size(path) > MAX_BYTES) {
        throw ConfigurationException.ofFile(file, file + ": has more than " + MAX_BYTES + " bytes");
      }
      return Files.readString(path, StandardCharsets.UTF_8);
    } catch (CharacterCodingException exception) {
      throw ConfigurationException.ofFile(file, file + ": is not text in UTF-8");
    } catch (IOException exception) {
      throw ConfigurationException.ofKeyInFile(
          SCRIPT_VARIABLE, file, SCRIPT_VARIABLE + ": " + file + " cannot be read");
    }
  }

  private static BrokerConfiguration configuration(
      BrokerScript script, Optional<Settings> settings) {
    JsonNode document = script.document();
    TenantIdentificationReader tenants = new TenantIdentificationReader(script, settings);
    ContractSet contracts = new ContractsReader(script, settings, tenants).read();
    return new BrokerConfiguration(
        contracts,
        tenants.identification(),
        Optional.ofNullable(document.get("opensearch")),
        document.path("accounts").path("list").asBoolean(false),
        MembershipReader.read(script),
        document,
        script.output());
  }
}
