package bitternpulley.docs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Each line that the program logs as a warning or an error is explained in docs/operators.md. */
class RunbookTest {
  private static final Path SOURCES = Path.of("src/main/java/bitternpulley");
  private static final List<String> NEVER_IN_SERVICE =
      List.of("faultinjection", "emulator", "benchmark");
  private static final Pattern LITERAL = Pattern.compile("\"((?:\\\\.|[^\"\\\\])*)\"");

  /** A call that logs a warning or an error, up to the end of its statement. */
  private static final Pattern CALL =
      Pattern.compile(
          "\\.log\\(\\s*(?:System\\.Logger\\.)?Level\\.(?:WARNING|ERROR),"
              + "((?:\"(?:\\\\.|[^\"\\\\])*\"|[^\";])*);");

  @Test
  void explainsEachWarningAndError() throws IOException {
    String page = Files.readString(Path.of("docs/operators.md"));
    List<String> unexplained = new ArrayList<>();
    int calls = 0;
    for (Path file : sources()) {
      Matcher call = CALL.matcher(Files.readString(file));
      while (call.find()) {
        calls++;
        String words = longestLiteral(call.group(1));
        if (words.isEmpty() || !page.contains(words)) {
          unexplained.add(file.getFileName() + ": '" + words + "'");
        }
      }
    }
    assertTrue(calls > 20, "found only " + calls + " calls");
    assertEquals(List.of(), unexplained);
  }

  private static List<Path> sources() throws IOException {
    try (Stream<Path> files = Files.walk(SOURCES)) {
      return files
          .filter(file -> file.toString().endsWith(".java"))
          .filter(file -> !NEVER_IN_SERVICE.contains(file.getParent().getFileName().toString()))
          .sorted()
          .toList();
    }
  }

  /** The longest literal of a message: its fixed words, by which a log is searched. */
  private static String longestLiteral(String arguments) {
    String longest = "";
    Matcher literal = LITERAL.matcher(arguments);
    while (literal.find()) {
      String text = literal.group(1).strip();
      longest = text.length() > longest.length() ? text : longest;
    }
    return longest;
  }
}
