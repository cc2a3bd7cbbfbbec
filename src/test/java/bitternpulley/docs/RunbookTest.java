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

/** Checks that docs/operators.md explains each message logged as a warning or an error. */
class RunbookTest {
  private static final Path SOURCES = Path.of("src/main/java/bitternpulley");

  /** Packages of test tools, which a running aggregator does not use. */
  private static final List<String> TEST_TOOL_PACKAGES =
      List.of("faultinjection", "emulator", "benchmark");

  private static final Pattern LITERAL = Pattern.compile("\"((?:\\\\.|[^\"\\\\])*)\"");

  /** Matches a call that logs a warning or an error, up to the end of the statement. */
  private static final Pattern LOG_CALL =
      Pattern.compile(
          "\\.log\\(\\s*(?:System\\.Logger\\.)?Level\\.(?:WARNING|ERROR),"
              + "((?:\"(?:\\\\.|[^\"\\\\])*\"|[^\";])*);");

  @Test
  void explainsEachWarningAndError() throws IOException {
    String page = Files.readString(Path.of("docs/operators.md"));
    List<String> unexplained = new ArrayList<>();
    int calls = 0;
    for (Path file : sources()) {
      Matcher call = LOG_CALL.matcher(Files.readString(file));
      while (call.find()) {
        calls++;
        String fixedText = longestLiteral(call.group(1));
        if (fixedText.isEmpty() || !page.contains(fixedText)) {
          unexplained.add(file.getFileName() + ": '" + fixedText + "'");
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
          .filter(file -> !TEST_TOOL_PACKAGES.contains(file.getParent().getFileName().toString()))
          .sorted()
          .toList();
    }
  }

  /** Returns the longest literal of a message, the fixed text by which operators search the log. */
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
