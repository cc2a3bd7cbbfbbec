package bitternpulley.config;

import java.util.Optional;

/**
 * A setting, configuration file or endpoint list that cannot be used. The message is for operators
 * and names what is wrong and where; key and file are available to code as well, where known.
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

  /** A key or environment variable cannot be used; the message has to name it. */
  static ConfigurationException ofKey(String key, String message) {
    return new ConfigurationException(key, null, message, null);
  }

  /** A file cannot be used as a whole; the message has to name it. */
  static ConfigurationException ofFile(String file, String message) {
    return new ConfigurationException(null, file, message, null);
  }

  /** A key in a file cannot be used; the message has to name both. */
  static ConfigurationException ofKeyInFile(String key, String file, String message) {
    return new ConfigurationException(key, file, message, null);
  }

  /** The same error, whose message starts with the section that the key belongs to. */
  ConfigurationException inSection(String section) {
    return new ConfigurationException(key, file, section + ": " + getMessage(), this);
  }

  /** The same error, whose message starts with the file that the key is in. */
  ConfigurationException inFile(String inFile) {
    return new ConfigurationException(key, inFile, inFile + ": " + getMessage(), this);
  }

  /** The key or environment variable, if the error concerns a single one. */
  public Optional<String> key() {
    return Optional.ofNullable(key);
  }

  /** The file, or the script function that stands for one, where it is known. */
  public Optional<String> file() {
    return Optional.ofNullable(file);
  }
}
