package bitternpulley.script;

/**
 * The limits of one evaluation.
 *
 * @param scriptLength characters in the script
 * @param depth nesting levels of brackets and of blocks; the prefix operators of a line and nested
 *     evaluations are limited to a multiple of it
 * @param steps statements, expressions and comparisons
 * @param memory characters and elements of all values that are created
 * @param outputLength characters that are printed
 */
public record EvaluationLimits(
    int scriptLength, int depth, long steps, long memory, int outputLength) {
  /** Suffices for thousands of contracts; an evaluation at these limits ends within seconds. */
  public static final EvaluationLimits DEFAULT =
      new EvaluationLimits(1 << 20, 64, 5_000_000, 20_000_000, 64 * 1024);
}
