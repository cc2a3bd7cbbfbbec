package bitternpulley.config;

import java.util.function.Supplier;

/** Names the section of the configuration file in the errors of its settings. */
final class Sections {
  private Sections() {}

  /** Reads something in a section; the message of an error starts with the section's name. */
  static <T> T inSection(String section, Supplier<T> reader) {
    try {
      return reader.get();
    } catch (ConfigurationException error) {
      throw error.getMessage().startsWith(section) ? error : error.inSection(section);
    }
  }
}
