package bitternpulley.docs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Classes and packages that the pages for newcomers name exist. */
class ArchitecturePageTest {
  private static final Pattern CODE = Pattern.compile("`([^`\n]+)`");
  private static final Pattern CLASS_NAME =
      Pattern.compile("[A-Z][a-z][A-Za-z0-9]*(\\.[A-Z][a-z][A-Za-z0-9]*)*");

  private static final Set<String> CLASSES =
      new ClassFileImporter()
              .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
              .importPackages("bitternpulley")
              .stream()
              .map(JavaClass::getName)
              .map(name -> name.substring(name.lastIndexOf('.') + 1).replace('$', '.'))
              .collect(Collectors.toSet());

  @ParameterizedTest
  @ValueSource(strings = {"docs/ARCHITECTURE.md", "docs/GLOSSARY.md"})
  void namesOnlyClassesThatExist(String page) throws IOException {
    Set<String> missing = new TreeSet<>();
    int named = 0;
    Matcher code = CODE.matcher(Files.readString(Path.of(page)));
    while (code.find()) {
      String name = code.group(1);
      if (CLASS_NAME.matcher(name).matches()) {
        named++;
        if (CLASSES.stream().noneMatch(c -> c.equals(name) || c.endsWith("." + name))) {
          missing.add(name);
        }
      }
    }
    assertTrue(named > 10, page + " names " + named + " classes");
    assertEquals(Set.of(), missing, page);
  }
}
