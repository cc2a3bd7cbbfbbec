package bitternpulley.script;

/**
 * A position in a script.
 *
 * @param file name of the file
 * @param line counted from 1
 * @param column counted from 1
 */
public record SourcePosition(String file, int line, int column) {
  @Override
  public String toString() {
    return file + ":" + line + ":" + column;
  }
}
