package bitternpulley.script;

import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.TokenSource;

/** Parses and evaluates scripts within limits. */
public final class ScriptRunner {
  private final EvaluationLimits limits;
  private final ScriptHost host;

  /** Creates a runner for scripts that may call the functions of the host. */
  public ScriptRunner(EvaluationLimits limits, ScriptHost host) {
    this.limits = limits;
    this.host = host;
  }

  /**
   * Evaluates a script and returns what it printed.
   *
   * @param file the file name that the positions of errors show
   * @param text the script
   * @throws ScriptException if the script is invalid, fails or exceeds a limit
   */
  public String run(String file, String text) {
    if (text.length() > limits.scriptLength()) {
      throw new ScriptException(
          null, file + " has more than " + limits.scriptLength() + " characters");
    }
    SourceFile source = new SourceFile(file);
    EvaluationBudget budget = new EvaluationBudget(limits);
    try {
      new ScriptEvaluator(source, budget, host).run(parse(source, text));
    } catch (StackOverflowError overflow) {
      // The nesting limits suffice for a stack of the default size; the caller's may be smaller.
      throw new ScriptException(null, file + ": the script is nested too deeply");
    }
    return budget.output();
  }

  private ScriptParser.FileContext parse(SourceFile source, String text) {
    SyntaxErrorListener syntaxErrorListener = new SyntaxErrorListener(source);
    ScriptLexer lexer = new ScriptLexer(CharStreams.fromString(text, source.name()));
    lexer.removeErrorListeners();
    lexer.addErrorListener(syntaxErrorListener);
    TokenSource tokens = IndentationLexer.tokens(lexer, source, limits.depth());
    ScriptParser parser = new ScriptParser(new CommonTokenStream(tokens));
    parser.removeErrorListeners();
    parser.addErrorListener(syntaxErrorListener);
    return parser.file();
  }
}
