package bitternpulley;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Dependencies point inward: what each package may know of the others. */
public class PackagesTest {
  private static final Path ROOT = Path.of("src/main/java/bitternpulley");
  private static final Pattern USE = Pattern.compile("bitternpulley\\.([a-z]+)\\.");

  @DataProvider
  public Object[][] allowed() {
    return new Object[][] {
      {"routing", Set.of()},
      {"net", Set.of()},
      {"script", Set.of()},
      {"health", Set.of("routing")},
      {"policy", Set.of("routing", "health")},
      {"contracts", Set.of("routing")},
      {"membership", Set.of()},
      {"leases", Set.of()},
      {"broker", Set.of("routing", "policy", "contracts", "membership", "leases")},
      {"gossip", Set.of("net", "membership", "leases", "broker", "config")},
      {"config", Set.of("routing", "net", "contracts", "script", "membership", "leases")},
      {"admin", Set.of("net", "broker", "contracts", "membership", "leases")},
      {"platform", Set.of("routing", "net", "broker", "config", "contracts")},
      {"opensearch", Set.of("routing", "net", "broker", "config", "contracts")},
      {"emulator", Set.of("net")},
      {"faultinjection", Set.of("net", "emulator")},
      {"benchmark", Set.of("net", "contracts", "emulator", "faultinjection")},
      {"simulator", Set.of("routing", "policy", "config")}
    };
  }

  @Test(dataProvider = "allowed")
  public void aPackageUsesOnlyWhatLiesFurtherIn(String name, Set<String> may) throws IOException {
    try (Stream<Path> files = Files.list(ROOT.resolve(name))) {
      for (Path file : files.toList()) {
        String text = Files.readString(file);
        Matcher uses = USE.matcher(text);
        while (uses.find()) {
          String used = uses.group(1);
          if (!used.equals(name) && !may.contains(used)) {
            throw new AssertionError(file + " uses " + used);
          }
        }
        boolean inner =
            Set.of(
                    "routing",
                    "health",
                    "policy",
                    "contracts",
                    "broker",
                    "script",
                    "membership",
                    "leases")
                .contains(name);
        assertFalse(
            inner && Pattern.compile("java\\.(net|nio(?!\\.charset))|jackson").matcher(text).find(),
            file + " knows a wire");
      }
    }
  }

  @Test
  public void everyPackageIsListed() throws IOException {
    try (Stream<Path> files = Files.list(ROOT)) {
      List<String> packages =
          files.filter(Files::isDirectory).map(p -> p.getFileName().toString()).sorted().toList();
      assertEquals(
          packages,
          List.of(
              "admin",
              "benchmark",
              "broker",
              "config",
              "contracts",
              "emulator",
              "faultinjection",
              "gossip",
              "health",
              "leases",
              "membership",
              "net",
              "opensearch",
              "platform",
              "policy",
              "routing",
              "script",
              "simulator"));
    }
  }
}
