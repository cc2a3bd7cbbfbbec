package bitternpulley.script;

/** Counts the steps, memory, nesting and output of one evaluation and stops it at its limits. */
final class EvaluationBudget {
  /** Levels of lists and dicts in each other that are compared or written out. */
  private static final int MAX_VALUE_DEPTH = 100;

  /** Nested evaluations for each level of nesting in the text: one level takes several of them. */
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
      throw new ScriptException(position, "took more than " + limits.steps() + " steps");
    }
  }

  /** Counts one step within a value at this depth, since a list may contain itself. */
  void recordNestedStep(int valueDepth, SourcePosition position) {
    recordStep(position);
    if (valueDepth > MAX_VALUE_DEPTH) {
      throw new ScriptException(position, "nested more than " + MAX_VALUE_DEPTH + " deep");
    }
  }

  /** Counts characters or elements, before they are created. */
  void reserve(long amount, SourcePosition position) {
    memory += amount;
    if (amount < 0 || memory > limits.memory()) {
      throw new ScriptException(
          position, "its values take more than " + limits.memory() + " characters and elements");
    }
  }

  /** Begins a nested evaluation, which {@link #leave} ends. */
  void enter(SourcePosition position) {
    depth++;
    if (depth > EVALUATIONS_PER_LEVEL * limits.depth()) {
      throw new ScriptException(position, "nested too deep");
    }
  }

  void leave() {
    depth--;
  }

  /** Appends a line to the output. */
  void print(String text, SourcePosition position) {
    if (output.length() + text.length() + 1 > limits.outputLength()) {
      throw new ScriptException(
          position, "prints more than " + limits.outputLength() + " characters");
    }
    output.append(text).append('\n');
  }

  String output() {
    return output.toString();
  }
}
