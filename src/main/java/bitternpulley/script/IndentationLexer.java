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
 * Adds tokens for the ends of lines and for blocks, by the indentation rules of Starlark's
 * specification. Rejects scripts that are nested too deeply, because the parser is recursive.
 */
final class IndentationLexer {
  /** Columns between tab stops. */
  private static final int TAB_WIDTH = 8;

  /**
   * Maximum number of {@code else} and {@code elif} keywords and of operators that can be prefixes
   * in one line, for each permitted nesting level.
   */
  private static final int NESTING_TOKENS_PER_LEVEL = 4;

  private final SourceFile source;
  private final int maxDepth;
  private final List<Token> output = new ArrayList<>();

  /** Indentation of the open blocks in columns, the innermost first. */
  private final Deque<Integer> indents = new ArrayDeque<>(List.of(0));

  private int openBrackets;
  private int nestingTokens;
  private boolean isLineOpen;

  private IndentationLexer(SourceFile source, int maxDepth) {
    this.source = source;
    this.maxDepth = maxDepth;
  }

  /**
   * The tokens of a script, as its parser expects them.
   *
   * @param maxDepth maximum nesting of brackets and of blocks
   */
  static TokenSource tokens(Lexer lexer, SourceFile source, int maxDepth) {
    IndentationLexer indentation = new IndentationLexer(source, maxDepth);
    List<? extends Token> tokens = lexer.getAllTokens();
    for (int index = 0; index < tokens.size(); index++) {
      Token following = index + 1 < tokens.size() ? tokens.get(index + 1) : null;
      indentation.accept(tokens.get(index), following);
    }
    indentation.endFile();
    return new ListTokenSource(indentation.output, source.name());
  }

  private void accept(Token token, Token following) {
    if (token.getType() == ScriptLexer.OTHER) {
      throw new ScriptException(
          source.position(token), "unexpected character '" + token.getText() + "'");
    }
    if (token.getType() == ScriptLexer.NEWLINE) {
      acceptNewline(token, following);
      return;
    }
    if (output.isEmpty() && token.getCharPositionInLine() > 0) {
      throw new ScriptException(source.position(token), "the first line is indented");
    }
    isLineOpen = true;
    countNesting(token);
    output.add(token);
  }

  private void acceptNewline(Token newline, Token following) {
    if (openBrackets > 0) {
      return;
    }
    if (isLineOpen) {
      add(newline, ScriptLexer.NEWLINE);
      isLineOpen = false;
      nestingTokens = 0;
    }
    boolean isNextLineBlank = following == null || following.getType() == ScriptLexer.NEWLINE;
    if (!isNextLineBlank) {
      indent(newline);
    }
  }

  private void countNesting(Token token) {
    switch (token.getText()) {
      case "(", "[", "{" -> openBrackets++;
      case ")", "]", "}" -> openBrackets = Math.max(0, openBrackets - 1);
      case "not", "-", "+", "else", "elif" -> nestingTokens++;
      default -> {}
    }
    if (openBrackets > maxDepth || nestingTokens > NESTING_TOKENS_PER_LEVEL * maxDepth) {
      throw new ScriptException(
          source.position(token),
          "the expression is nested more than " + maxDepth + " levels deep");
    }
  }

  /** Adds the tokens of the blocks that begin or end with the next line. */
  private void indent(Token newline) {
    int width = indentation(newline.getText());
    if (width > indents.peek()) {
      indents.push(width);
      add(newline, ScriptParser.INDENT);
      if (indents.size() > maxDepth) {
        throw new ScriptException(
            source.position(newline), "blocks are nested more than " + maxDepth + " levels deep");
      }
    }
    while (width < indents.peek()) {
      indents.pop();
      add(newline, ScriptParser.DEDENT);
    }
    if (width != indents.peek()) {
      throw new ScriptException(
          source.position(newline.getLine() + 1, width),
          "the indentation of the line does not match any enclosing block");
    }
  }

  /** The columns of whitespace after the line feed. */
  private static int indentation(String newline) {
    int width = 0;
    for (int index = newline.indexOf('\n') + 1; index < newline.length(); index++) {
      boolean isTab = newline.charAt(index) == '\t';
      width = isTab ? (width / TAB_WIDTH + 1) * TAB_WIDTH : width + 1;
    }
    return width;
  }

  private void endFile() {
    Token last =
        output.isEmpty()
            ? new CommonToken(ScriptLexer.NEWLINE, "\n")
            : output.get(output.size() - 1);
    if (isLineOpen) {
      add(last, ScriptLexer.NEWLINE);
    }
    while (indents.pop() > 0) {
      add(last, ScriptParser.DEDENT);
    }
    add(last, Token.EOF);
  }

  /** Adds a token that is not in the script, with a position derived from a nearby token. */
  private void add(Token near, int type) {
    CommonToken added = new CommonToken(type, displayName(type));
    // A block begins or ends at the start of the next line.
    boolean isOnNextLine = type == ScriptParser.INDENT || type == ScriptParser.DEDENT;
    added.setLine(isOnNextLine ? near.getLine() + 1 : near.getLine());
    added.setCharPositionInLine(isOnNextLine ? 0 : near.getCharPositionInLine());
    output.add(added);
  }

  /** The text that syntax errors show for a token. */
  private static String displayName(int type) {
    return switch (type) {
      case ScriptLexer.NEWLINE -> "end of line";
      case Token.EOF -> "end of file";
      case ScriptParser.INDENT -> "indentation";
      default -> "end of block";
    };
  }
}
