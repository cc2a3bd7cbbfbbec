package bitternpulley.config;

import bitternpulley.net.HostPort;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/**
 * The configuration file that LB_CONFIG names, and the environment variables that take precedence
 * over some of its keys.
 */
final class ConfigurationFile {
  private static final String VARIABLE = "LB_CONFIG";

  private final JsonNode root;
  private final Map<String, String> environment;

  private ConfigurationFile(JsonNode root, Map<String, String> environment) {
    this.root = root;
    this.environment = environment;
  }

  static ConfigurationFile open(Map<String, String> environment) {
    String file = environment.getOrDefault(VARIABLE, "");
    if (file.isEmpty()) {
      throw ConfigurationException.ofKey(VARIABLE, VARIABLE + " is not set");
    }
    return new ConfigurationFile(read(file), environment);
  }

  private static JsonNode read(String file) {
    JsonNode root;
    try {
      root = StrictJson.read(Files.readAllBytes(Path.of(file)));
    } catch (JsonProcessingException malformed) {
      throw error(file, file + " is not JSON: " + malformed.getOriginalMessage());
    } catch (IOException unreadable) {
      throw error(file, "cannot read " + file);
    }
    if (!root.isObject()) {
      throw error(file, file + " holds no JSON object");
    }
    return root;
  }

  private static ConfigurationException error(String file, String message) {
    return ConfigurationException.ofKeyInFile(VARIABLE, file, VARIABLE + ": " + message);
  }

  /** The value of a key, a missing node if there is none. */
  JsonNode path(String key) {
    return root.path(key);
  }

  /** An environment variable; empty if it is not set. */
  String variable(String name) {
    return environment.getOrDefault(name, "");
  }

  /** The value of a variable if that is set, even to nothing, else of a key; may be empty. */
  String text(String variable, String key) {
    return environment.getOrDefault(variable, root.path(key).asText(""));
  }

  /** As {@link #text}; must not be empty. */
  String requiredText(String variable, String key) {
    String value = text(variable, key);
    if (value.isEmpty()) {
      throw ConfigurationException.ofKey(
          key, "'" + key + "' is missing, and " + variable + " is not set");
    }
    return value;
  }

  /** The address that a variable or a key holds. */
  HostPort requiredAddress(String variable, String key) {
    return address(key, "'" + key + "' (" + variable + ")", requiredText(variable, key));
  }

  /** The address that a text under a key holds. */
  static HostPort address(String key, String text) {
    return address(key, "'" + key + "'", text);
  }

  private static HostPort address(String key, String description, String text) {
    try {
      return HostPort.parse(text);
    } catch (IllegalArgumentException malformed) {
      throw ConfigurationException.ofKey(key, description + ": " + malformed.getMessage());
    }
  }
}
