package bitternpulley.script;

import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;

/** Parses and evaluates one script. */
public final class ScriptRunner {
  private final Bounds bounds;
  private final Host host;

  public ScriptRunner(Bounds bounds, Host host) {
    this.bounds = bounds;
    this.host = host;
  }

  /**
   * Evaluates a text and returns what it printed; throws {@link ScriptException} where it cannot be
   * used.
   */
  public String run(String file, String text) {
    if (text.length() > bounds.scriptLength()) {
      throw new ScriptException(
          null, file + " has more than " + bounds.scriptLength() + " characters");
    }
    EvaluationBudget meter = new EvaluationBudget(bounds);
    try {
      new Statements(file, meter, host).run(parse(file, text));
    } catch (StackOverflowError e) {
      // The bounds on nesting keep well within any usual stack; a caller with a small one is told
      // all the same.
      throw new ScriptException(null, file + ": nested too deep");
    }
    return meter.output();
  }

  private ScriptParser.FileContext parse(String file, String text) {
    BaseErrorListener refuse =
        new BaseErrorListener() {
          @Override
          public void syntaxError(
              Recognizer<?, ?> recognizer,
              Object offending,
              int line,
              int column,
              String message,
              RecognitionException e) {
            String found =
                offending instanceof Token t
                    ? "'" + t.getText() + "' does not belong here"
                    : message;
            throw new ScriptException(new Place(file, line, column + 1), found);
          }
        };
    ScriptLexer lexer = new ScriptLexer(CharStreams.fromString(text, file));
    lexer.removeErrorListeners();
    lexer.addErrorListener(refuse);
    ScriptParser parser =
        new ScriptParser(new CommonTokenStream(IndentationLexer.of(lexer, file, bounds.depth())));
    parser.removeErrorListeners();
    parser.addErrorListener(refuse);
    return parser.file();
  }
}
