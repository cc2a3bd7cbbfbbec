package bitternpulley.config;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Function;

/** Runs code with a temporary file. */
final class TemporaryFile {
  private TemporaryFile() {}

  /** Writes a text to a temporary file, calls a reader with it and deletes the file. */
  static <T> T with(String text, String suffix, Function<Path, T> reader) {
    try {
      Path file = Files.createTempFile("config", suffix);
      try {
        Files.writeString(file, text);
        return reader.apply(file);
      } finally {
        Files.delete(file);
      }
    } catch (IOException exception) {
      throw new UncheckedIOException(exception);
    }
  }
}
