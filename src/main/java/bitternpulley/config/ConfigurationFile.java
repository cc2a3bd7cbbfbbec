package bitternpulley.config;

import bitternpulley.net.HostPort;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/**
 * The configuration file named by LB_CONFIG, and the environment variables that take precedence
 * over some of its keys.
 */
final class ConfigurationFile {
  private static final String FILE_VARIABLE = "LB_CONFIG";

  private final JsonNode root;
  private final Map<String, String> environment;

  private ConfigurationFile(JsonNode root, Map<String, String> environment) {
    this.root = root;
    this.environment = environment;
  }

  static ConfigurationFile open(Map<String, String> environment) {
    String file = environment.getOrDefault(FILE_VARIABLE, "");
    if (file.isEmpty()) {
      throw ConfigurationException.ofKey(FILE_VARIABLE, FILE_VARIABLE + " is not set");
    }
    return new ConfigurationFile(read(file), environment);
  }

  private static JsonNode read(String file) {
    JsonNode root;
    try {
      root = StrictJson.read(Files.readAllBytes(Path.of(file)));
    } catch (JsonProcessingException exception) {
      throw error(file, file + " is not JSON: " + exception.getOriginalMessage());
    } catch (IOException exception) {
      throw error(file, "cannot read " + file);
    }
    if (!root.isObject()) {
      throw error(file, file + " is not a JSON object");
    }
    return root;
  }

  private static ConfigurationException error(String file, String message) {
    return ConfigurationException.ofKeyInFile(FILE_VARIABLE, file, FILE_VARIABLE + ": " + message);
  }

  /** The value of a key, or a missing node if the file does not have the key. */
  JsonNode path(String key) {
    return root.path(key);
  }

  /** An environment variable; empty if it is not set. */
  String variable(String name) {
    return environment.getOrDefault(name, "");
  }

  /**
   * The value of an environment variable if it is set, even to an empty string, and of a key
   * otherwise; empty if both are missing.
   */
  String text(String variable, String key) {
    return environment.getOrDefault(variable, root.path(key).asText(""));
  }

  /** As {@link #text}, but throws if the value is empty. */
  String requiredText(String variable, String key) {
    String value = text(variable, key);
    if (value.isEmpty()) {
      throw ConfigurationException.ofKey(
          key, "'" + key + "' is missing, and " + variable + " is not set");
    }
    return value;
  }

  /** The address in an environment variable or, if that is not set, in a key. */
  HostPort requiredAddress(String variable, String key) {
    return address(key, "'" + key + "' (" + variable + ")", requiredText(variable, key));
  }

  /** Parses the address in the value of a key; the key is named if the address is malformed. */
  static HostPort address(String key, String text) {
    return address(key, "'" + key + "'", text);
  }

  private static HostPort address(String key, String description, String text) {
    try {
      return HostPort.parse(text);
    } catch (IllegalArgumentException exception) {
      throw ConfigurationException.ofKey(key, description + ": " + exception.getMessage());
    }
  }
}
