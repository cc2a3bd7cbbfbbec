package bitternpulley.script;

/** Counts the steps, memory, nesting and output of one evaluation and enforces its limits. */
final class EvaluationBudget {
  /** Maximum nesting of lists and dicts in values that are compared or converted to text. */
  private static final int MAX_VALUE_DEPTH = 100;

  /** Nested evaluations per nesting level of the script, as one level takes several evaluations. */
  private static final int EVALUATIONS_PER_LEVEL = 8;

  private final EvaluationLimits limits;
  private final StringBuilder output = new StringBuilder();
  private long steps;
  private long memory;
  private int depth;

  EvaluationBudget(EvaluationLimits limits) {
    this.limits = limits;
  }

  /** Counts one statement, expression or comparison. */
  void recordStep(SourcePosition position) {
    steps++;
    if (steps > limits.steps()) {
      throw new ScriptException(position, "the script took more than " + limits.steps() + " steps");
    }
  }

  /** Counts one step inside a nested value and limits its depth, as a list may contain itself. */
  void recordNestedStep(int valueDepth, SourcePosition position) {
    recordStep(position);
    if (valueDepth > MAX_VALUE_DEPTH) {
      throw new ScriptException(
          position, "the value is nested more than " + MAX_VALUE_DEPTH + " levels deep");
    }
  }

  /** Counts characters or elements before they are created. */
  void reserve(long amount, SourcePosition position) {
    memory += amount;
    if (amount < 0 || memory > limits.memory()) {
      throw new ScriptException(
          position,
          "the script's values take more than " + limits.memory() + " characters and elements");
    }
  }

  /** Begins a nested evaluation, which {@link #leave} ends. */
  void enter(SourcePosition position) {
    depth++;
    if (depth > EVALUATIONS_PER_LEVEL * limits.depth()) {
      throw new ScriptException(position, "expressions and calls are nested too deeply");
    }
  }

  void leave() {
    depth--;
  }

  /** Appends a line to the output. */
  void print(String text, SourcePosition position) {
    if (output.length() + text.length() + 1 > limits.outputLength()) {
      throw new ScriptException(
          position, "the script prints more than " + limits.outputLength() + " characters");
    }
    output.append(text).append('\n');
  }

  String output() {
    return output.toString();
  }
}
