package bitternpulley.script;

/** Values of number and text literals. */
final class Literals {
  private static final String LONG_QUOTES = "\"\"\"";
  private static final int HEXADECIMAL = 16;

  private Literals() {}

  static long integer(String literal, SourcePosition position) {
    String digits = literal.replace("_", "");
    try {
      return digits.startsWith("0x") || digits.startsWith("0X")
          ? Long.parseLong(digits.substring(2), HEXADECIMAL)
          : Long.parseLong(digits);
    } catch (NumberFormatException overflow) {
      throw tooLarge(position);
    }
  }

  static double real(String literal, SourcePosition position) {
    double number = Double.parseDouble(literal);
    if (Double.isInfinite(number)) {
      throw tooLarge(position);
    }
    return number;
  }

  private static ScriptException tooLarge(SourcePosition position) {
    return new ScriptException(position, "the number is too large");
  }

  /** The text of a literal without its quotes and with its escapes replaced. */
  static String text(String literal, SourcePosition position) {
    int quotes = literal.startsWith(LONG_QUOTES) ? LONG_QUOTES.length() : 1;
    String raw = literal.substring(quotes, literal.length() - quotes);
    StringBuilder text = new StringBuilder();
    int index = 0;
    while (index < raw.length()) {
      if (raw.charAt(index) != '\\') {
        text.append(raw.charAt(index));
        index++;
      } else {
        text.append(unescaped(index + 1 < raw.length() ? raw.charAt(index + 1) : ' ', position));
        index += 2;
      }
    }
    return text.toString();
  }

  private static String unescaped(char escape, SourcePosition position) {
    return switch (escape) {
      case 'n' -> "\n";
      case 't' -> "\t";
      case 'r' -> "\r";
      case '\\', '"', '\'' -> String.valueOf(escape);
      case '\n' -> "";
      default -> throw new ScriptException(position, "'\\" + escape + "' stands for nothing");
    };
  }
}
