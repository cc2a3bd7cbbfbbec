package bitternpulley.script;

import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;

/** Throws a {@link ScriptException} at the first syntax error. */
final class SyntaxErrorListener extends BaseErrorListener {
  private final SourceFile source;

  SyntaxErrorListener(SourceFile source) {
    this.source = source;
  }

  @Override
  public void syntaxError(
      Recognizer<?, ?> recognizer,
      Object offendingSymbol,
      int line,
      int column,
      String message,
      RecognitionException cause) {
    String text =
        offendingSymbol instanceof Token token ? "unexpected '" + token.getText() + "'" : message;
    throw new ScriptException(source.position(line, column), text);
  }
}
