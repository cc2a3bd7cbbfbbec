package bitternpulley.script;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.antlr.v4.runtime.CommonToken;
import org.antlr.v4.runtime.Lexer;
import org.antlr.v4.runtime.ListTokenSource;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.TokenSource;

/**
 * Tells lines and blocks by their indentation, after the rules of Starlark's specification, and
 * keeps to the bounds on nesting before the parser, which recurses, gets to see them.
 */
final class IndentationLexer {
  /** Columns that a tab stands for. */
  private static final int TAB = 8;

  private final String file;
  private final int deepest;
  private final List<Token> out = new ArrayList<>();
  private final Deque<Integer> indents = new ArrayDeque<>(List.of(0));
  private int brackets;
  private int prefixes;
  private boolean lineOpen;

  private IndentationLexer(String file, int deepest) {
    this.file = file;
    this.deepest = deepest;
  }

  static TokenSource of(Lexer lexer, String file, int deepest) {
    IndentationLexer layout = new IndentationLexer(file, deepest);
    List<? extends Token> all = lexer.getAllTokens();
    for (int i = 0; i < all.size(); i++) {
      layout.take(all.get(i), i + 1 < all.size() ? all.get(i + 1) : null);
    }
    layout.end();
    return new ListTokenSource(layout.out, file);
  }

  private void take(Token token, Token following) {
    if (token.getType() == ScriptLexer.OTHER) {
      throw new ScriptException(place(token), "'" + token.getText() + "' is not understood");
    }
    if (token.getType() == ScriptLexer.NEWLINE) {
      boolean blank = following == null || following.getType() == ScriptLexer.NEWLINE;
      if (brackets == 0 && lineOpen) {
        add(token, ScriptLexer.NEWLINE);
        lineOpen = false;
        prefixes = 0;
      }
      if (brackets == 0 && !blank) {
        indent(token);
      }
      return;
    }
    if (out.isEmpty() && token.getCharPositionInLine() > 0) {
      throw new ScriptException(place(token), "the first line is indented");
    }
    lineOpen = true;
    nest(token);
    out.add(token);
  }

  private void nest(Token token) {
    String text = token.getText();
    switch (text) {
      case "(", "[", "{" -> brackets++;
      case ")", "]", "}" -> brackets = Math.max(0, brackets - 1);
      case "not", "-", "+", "else", "elif" -> prefixes++;
      default -> {}
    }
    // Guards against a text on which a parser that recurses runs out of stack.
    if (brackets > deepest || prefixes > 4 * deepest) {
      throw new ScriptException(place(token), "nested more than " + deepest + " deep");
    }
  }

  private void indent(Token newline) {
    int width = 0;
    String text = newline.getText();
    for (int i = text.indexOf('\n') + 1; i < text.length(); i++) {
      width = text.charAt(i) == '\t' ? (width / TAB + 1) * TAB : width + 1;
    }
    if (width > indents.peek()) {
      indents.push(width);
      add(newline, ScriptParser.INDENT);
      if (indents.size() > deepest) {
        throw new ScriptException(place(newline), "blocks nested more than " + deepest + " deep");
      }
    }
    while (width < indents.peek()) {
      indents.pop();
      add(newline, ScriptParser.DEDENT);
    }
    if (width != indents.peek()) {
      throw new ScriptException(
          new Place(file, newline.getLine() + 1, width + 1),
          "the line is indented like none of the blocks that it could belong to");
    }
  }

  private void end() {
    Token last =
        out.isEmpty() ? new CommonToken(ScriptLexer.NEWLINE, "\n") : out.get(out.size() - 1);
    if (lineOpen) {
      add(last, ScriptLexer.NEWLINE);
    }
    while (indents.pop() > 0) {
      add(last, ScriptParser.DEDENT);
    }
    add(last, Token.EOF);
  }

  private void add(Token at, int type) {
    CommonToken made =
        new CommonToken(
            type,
            type == ScriptLexer.NEWLINE
                ? "end of line"
                : type == Token.EOF
                    ? "end of file"
                    : type == ScriptParser.INDENT ? "indentation" : "end of block");
    // A block begins and ends where the next line does.
    boolean nextLine = type == ScriptParser.INDENT || type == ScriptParser.DEDENT;
    made.setLine(at.getLine() + (nextLine ? 1 : 0));
    made.setCharPositionInLine(nextLine ? 0 : at.getCharPositionInLine());
    out.add(made);
  }

  private Place place(Token token) {
    return new Place(file, token.getLine(), token.getCharPositionInLine() + 1);
  }
}
