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

/** Checks that operators' scripts in use still yield the documents recorded for them. */
class StoredScriptTest {
  private static final Path FOLDER = Path.of("src/test/resources/stored");

  @Test
  void storedScriptsYieldRecordedDocuments() throws IOException {
    List<Path> scripts;
    try (Stream<Path> files = Files.list(FOLDER)) {
      scripts = files.filter(file -> file.toString().endsWith(".star")).sorted().toList();
    }
    List<String> documents = new ArrayList<>();
    for (Path script : scripts) {
      BrokerConfiguration configuration = BrokerConfigurationReader.read(script, Optional.empty());
      documents.add(script.getFileName() + " " + configuration.document());
    }
    assertEquals(
        Files.readString(FOLDER.resolve("scripts.txt")).trim(), String.join("\n", documents));
  }
}
