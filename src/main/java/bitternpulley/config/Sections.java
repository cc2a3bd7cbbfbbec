package bitternpulley.config;

import java.util.function.Supplier;

/** Adds the name of a section of the configuration file to errors. */
final class Sections {
  private Sections() {}

  /** Calls a reader; an error that it throws gets a message that starts with the section's name. */
  static <T> T inSection(String section, Supplier<T> reader) {
    try {
      return reader.get();
    } catch (ConfigurationException error) {
      throw error.getMessage().startsWith(section) ? error : error.inSection(section);
    }
  }
}
