package bitternpulley.config;

import java.util.Optional;

/**
 * Thrown for a setting, configuration file or endpoint list that cannot be used. The message tells
 * operators what is wrong and where; key and file, if known, are also available separately.
 */
public final class ConfigurationException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final String key;
  private final String file;

  private ConfigurationException(String key, String file, String message, Throwable cause) {
    super(message, cause);
    this.key = key;
    this.file = file;
  }

  /** Creates an error for a key or environment variable, which the message has to name. */
  static ConfigurationException ofKey(String key, String message) {
    return new ConfigurationException(key, null, message, null);
  }

  /** Creates an error for a whole file, which the message has to name. */
  static ConfigurationException ofFile(String file, String message) {
    return new ConfigurationException(null, file, message, null);
  }

  /** Creates an error for a key in a file; the message has to name both. */
  static ConfigurationException ofKeyInFile(String key, String file, String message) {
    return new ConfigurationException(key, file, message, null);
  }

  /** Returns a copy of this error whose message starts with the section that has the key. */
  ConfigurationException inSection(String section) {
    return new ConfigurationException(key, file, section + ": " + getMessage(), this);
  }

  /** Returns a copy of this error whose message starts with the file that has the key. */
  ConfigurationException inFile(String fileName) {
    return new ConfigurationException(key, fileName, fileName + ": " + getMessage(), this);
  }

  /** The key or environment variable, if the error is about a single one. */
  public Optional<String> key() {
    return Optional.ofNullable(key);
  }

  /** The file, or the script function used in its place, such as {@code opensearch()}, if known. */
  public Optional<String> file() {
    return Optional.ofNullable(file);
  }
}
