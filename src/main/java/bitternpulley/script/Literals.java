package bitternpulley.script;

/** Parses number and string literals. */
final class Literals {
  private static final String TRIPLE_QUOTES = "\"\"\"";
  private static final int HEXADECIMAL = 16;

  private Literals() {}

  static long parseInteger(String literal, SourcePosition position) {
    String digits = literal.replace("_", "");
    try {
      return digits.startsWith("0x") || digits.startsWith("0X")
          ? Long.parseLong(digits.substring(2), HEXADECIMAL)
          : Long.parseLong(digits);
    } catch (NumberFormatException overflow) {
      throw tooLarge(position);
    }
  }

  static double parseFloat(String literal, SourcePosition position) {
    double number = Double.parseDouble(literal);
    if (Double.isInfinite(number)) {
      throw tooLarge(position);
    }
    return number;
  }

  private static ScriptException tooLarge(SourcePosition position) {
    return new ScriptException(position, "the number is too large");
  }

  /** Removes the quotes of a string literal and replaces its escape sequences. */
  static String parseString(String literal, SourcePosition position) {
    int quoteLength = literal.startsWith(TRIPLE_QUOTES) ? TRIPLE_QUOTES.length() : 1;
    String raw = literal.substring(quoteLength, literal.length() - quoteLength);
    StringBuilder text = new StringBuilder();
    int index = 0;
    while (index < raw.length()) {
      if (raw.charAt(index) != '\\') {
        text.append(raw.charAt(index));
        index++;
      } else {
        text.append(unescape(index + 1 < raw.length() ? raw.charAt(index + 1) : ' ', position));
        index += 2;
      }
    }
    return text.toString();
  }

  private static String unescape(char escape, SourcePosition position) {
    return switch (escape) {
      case 'n' -> "\n";
      case 't' -> "\t";
      case 'r' -> "\r";
      case '\\', '"', '\'' -> String.valueOf(escape);
      case '\n' -> "";
      default -> throw new ScriptException(position, "unknown escape sequence '\\" + escape + "'");
    };
  }
}
