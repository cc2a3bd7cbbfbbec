package bitternpulley.script;

/**
 * What one evaluation may take.
 *
 * @param scriptLength characters of the script
 * @param depth of brackets, blocks, operators in a row, and calls within calls
 * @param steps statements and expressions evaluated
 * @param memory characters and elements of all values made
 * @param outputLength characters printed
 */
public record Bounds(int scriptLength, int depth, long steps, long memory, int outputLength) {
  /** Thousands of contracts, and an end within a second or so. */
  public static final Bounds USUAL = new Bounds(1 << 20, 64, 5_000_000, 20_000_000, 64 * 1024);
}
