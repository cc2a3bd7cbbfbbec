package bitternpulley.config;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Operators' scripts as they are in use are read to the same documents. */
class StoredScriptTest {
  private static final Path FOLDER = Path.of("src/test/resources/stored");

  @Test
  void areReadToTheRecordedDocuments() throws IOException {
    List<Path> scripts;
    try (Stream<Path> files = Files.list(FOLDER)) {
      scripts = files.filter(f -> f.toString().endsWith(".star")).sorted().toList();
    }
    List<String> seen = new ArrayList<>();
    for (Path script : scripts) {
      BrokerConfiguration read = BrokerConfigurationReader.read(script, Optional.empty());
      seen.add(script.getFileName() + " " + read.document());
    }
    assertEquals(Files.readString(FOLDER.resolve("scripts.txt")).trim(), String.join("\n", seen));
  }
}
