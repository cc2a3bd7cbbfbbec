package bitternpulley.script;

import org.antlr.v4.runtime.ParserRuleContext;
import org.antlr.v4.runtime.Token;

/** The file that a script was read from; gives positions in it. */
record SourceFile(String name) {
  /** The position at which an expression or statement starts. */
  SourcePosition position(ParserRuleContext context) {
    return position(context.getStart());
  }

  SourcePosition position(Token token) {
    return position(token.getLine(), token.getCharPositionInLine());
  }

  /** A position by line, counted from 1, and column as ANTLR counts it, from 0. */
  SourcePosition position(int line, int zeroBasedColumn) {
    return new SourcePosition(name, line, zeroBasedColumn + 1);
  }
}
