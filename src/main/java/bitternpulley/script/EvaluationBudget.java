package bitternpulley.script;

/** Counts what an evaluation takes, and ends one that takes too much. */
final class EvaluationBudget {
  private final Bounds limits;
  private long steps;
  private long memory;
  private int depth;
  private final StringBuilder output = new StringBuilder();

  EvaluationBudget(Bounds bounds) {
    this.limits = bounds;
  }

  void recordStep(Place position) {
    if (++steps > limits.steps()) {
      throw new ScriptException(position, "took more than " + limits.steps() + " steps");
    }
  }

  /** So many characters or elements are about to be made. */
  void reserve(long amount, Place position) {
    memory += amount;
    if (amount < 0 || memory > limits.memory()) {
      throw new ScriptException(
          position, "its values take more than " + limits.memory() + " characters and elements");
    }
  }

  void enter(Place position) {
    if (++depth > 8 * limits.depth()) {
      throw new ScriptException(position, "nested too deep");
    }
  }

  void leave() {
    depth--;
  }

  void print(String text, Place position) {
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
