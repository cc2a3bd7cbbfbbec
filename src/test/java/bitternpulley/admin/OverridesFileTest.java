package bitternpulley.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import bitternpulley.broker.OperatorOverrides;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against changes of the format in which operator overrides are stored, because other
 * versions read the file.
 */
class OverridesFileTest {
  private static final String FILE_NAME = "bitternpulley-orders";
  private static final Path EARLIER_FILE = Path.of("src/test/resources/stored").resolve(FILE_NAME);

  @TempDir Path folder;

  @Test
  void readsFileOfEarlierVersion() throws IOException {
    Files.copy(EARLIER_FILE, folder.resolve(FILE_NAME));
    assertEquals(
        new OperatorOverrides(Set.of("s1", "s12"), true),
        new OverridesFile(Optional.of(folder)).read());
  }

  @Test
  void writesFormatOfEarlierVersion() throws Exception {
    Files.copy(EARLIER_FILE, folder.resolve(FILE_NAME));
    OverridesFile file = new OverridesFile(Optional.of(folder));
    file.read();
    CompletableFuture<OperatorOverrides> stored = new CompletableFuture<>();
    file.change(new OperatorOverrides.OperatorCommand("s0", true), new StoredOverrides(stored));
    assertEquals(Set.of("s0", "s1", "s12"), stored.get().cordoned());
    assertEquals(
        "cordoned s0\n" + Files.readString(EARLIER_FILE),
        Files.readString(folder.resolve(FILE_NAME)));
  }

  private record StoredOverrides(CompletableFuture<OperatorOverrides> result)
      implements OverridesFile.ChangeObserver {
    @Override
    public void stored(OperatorOverrides overrides) {
      result.complete(overrides);
    }

    @Override
    public void keptInMemory(OperatorOverrides overrides, String failure) {
      result.completeExceptionally(new AssertionError(failure));
    }
  }
}
