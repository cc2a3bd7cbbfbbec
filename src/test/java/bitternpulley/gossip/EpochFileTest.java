package bitternpulley.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class EpochFileTest {
  private static final String FILE_NAME = "bitternpulley-epoch";

  @TempDir Path folder;

  @Test
  void increasesWithEachStartEvenIfTheClockIsSetBack() {
    assertEquals(5000, EpochFile.next(folder, 5000));
    assertEquals(5001, EpochFile.next(folder, 4000));
    assertEquals(9000, EpochFile.next(folder, 9000));
  }

  @Test
  void usesTheTimeIfTheFileContainsNoEpoch() throws IOException {
    EpochFile.next(folder, 9000);
    Files.writeString(folder.resolve(FILE_NAME), "what");
    assertEquals(9500, EpochFile.next(folder, 9500));
  }

  @Test
  void usesTheTimeWithoutAFolder() {
    assertEquals(7, EpochFile.next(null, 7));
    assertEquals(8, EpochFile.next(folder.resolve("missing"), 8));
  }
}
