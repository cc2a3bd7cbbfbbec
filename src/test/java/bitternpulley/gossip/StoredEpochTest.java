package bitternpulley.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that an epoch file written by an earlier version of the program is still read. */
class StoredEpochTest {
  private static final String FILE_NAME = "bitternpulley-epoch";

  @TempDir Path folder;

  @Test
  void nextEpochFollowsTheStoredEpoch() throws IOException {
    Files.copy(Path.of("src/test/resources/stored").resolve(FILE_NAME), folder.resolve(FILE_NAME));
    assertEquals(1764753345124L, EpochFile.next(folder, 5));
    assertEquals("1764753345124", Files.readString(folder.resolve(FILE_NAME)));
  }
}
