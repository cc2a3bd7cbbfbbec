package bitternpulley.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The epoch file as an earlier version of the program stored it. */
class StoredEpochTest {
  private static final String NAME = "bitternpulley-epoch";

  @TempDir Path folder;

  @Test
  void theNextEpochFollowsTheStoredOne() throws IOException {
    Files.copy(Path.of("src/test/resources/stored").resolve(NAME), folder.resolve(NAME));
    assertEquals(1764753345124L, EpochFile.next(folder, 5));
    assertEquals("1764753345124", Files.readString(folder.resolve(NAME)));
  }
}
