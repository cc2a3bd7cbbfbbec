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

/** Checks that the classes named in the architecture page and the glossary exist. */
class ArchitecturePageTest {
  private static final Pattern CODE_SPAN = Pattern.compile("`([^`\n]+)`");
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
    int namedClasses = 0;
    Matcher codeSpan = CODE_SPAN.matcher(Files.readString(Path.of(page)));
    while (codeSpan.find()) {
      String name = codeSpan.group(1);
      if (CLASS_NAME.matcher(name).matches()) {
        namedClasses++;
        if (CLASSES.stream()
            .noneMatch(existing -> existing.equals(name) || existing.endsWith("." + name))) {
          missing.add(name);
        }
      }
    }
    assertTrue(namedClasses > 10, page + " names " + namedClasses + " classes");
    assertEquals(Set.of(), missing, page);
  }
}
