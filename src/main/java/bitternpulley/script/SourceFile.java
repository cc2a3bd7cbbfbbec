package bitternpulley.script;

import org.antlr.v4.runtime.ParserRuleContext;
import org.antlr.v4.runtime.Token;

/** The name of a script's file; creates positions in that file. */
record SourceFile(String name) {
  /** The position at which an expression or statement starts. */
  SourcePosition position(ParserRuleContext context) {
    return position(context.getStart());
  }

  SourcePosition position(Token token) {
    return position(token.getLine(), token.getCharPositionInLine());
  }

  /** The position of a line, counted from 1, and an ANTLR column, counted from 0. */
  SourcePosition position(int line, int zeroBasedColumn) {
    return new SourcePosition(name, line, zeroBasedColumn + 1);
  }
}
