package bitternpulley.script;

/** Counts what an evaluation takes, and ends one that takes too much. */
final class Meter {
  private final Bounds bounds;
  private long steps;
  private long memory;
  private int depth;
  private final StringBuilder output = new StringBuilder();

  Meter(Bounds bounds) {
    this.bounds = bounds;
  }

  void step(Place at) {
    if (++steps > bounds.steps()) {
      throw new ScriptException(at, "took more than " + bounds.steps() + " steps");
    }
  }

  /** So many characters or elements are about to be made. */
  void make(long amount, Place at) {
    memory += amount;
    if (amount < 0 || memory > bounds.memory()) {
      throw new ScriptException(
          at, "its values take more than " + bounds.memory() + " characters and elements");
    }
  }

  void deeper(Place at) {
    if (++depth > 8 * bounds.depth()) {
      throw new ScriptException(at, "nested too deep");
    }
  }

  void shallower() {
    depth--;
  }

  void print(String text, Place at) {
    if (output.length() + text.length() + 1 > bounds.output()) {
      throw new ScriptException(at, "prints more than " + bounds.output() + " characters");
    }
    output.append(text).append('\n');
  }

  String output() {
    return output.toString();
  }
}
