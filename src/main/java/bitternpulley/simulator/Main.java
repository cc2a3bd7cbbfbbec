package bitternpulley.simulator;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.io.Writer;
import java.nio.charset.StandardCharsets;

/** Runs the simulator adapter on standard input and output: one batch and one reply per line. */
public final class Main {
  /** Characters read ahead from standard input. */
  private static final int INPUT_BUFFER_CHARS = 1 << 16;

  /** Exit status after a batch that cannot be used. */
  private static final int STATUS_UNUSABLE_INPUT = 2;

  private Main() {}

  /**
   * Answers batches until standard input ends. A batch that cannot be used ends the program with a
   * message on standard error.
   *
   * @param args not used
   * @throws IOException when standard input or output fails
   */
  public static void main(String[] args) throws IOException {
    SimulatorAdapter adapter = new SimulatorAdapter();
    BufferedReader input =
        new BufferedReader(
            new InputStreamReader(System.in, StandardCharsets.UTF_8), INPUT_BUFFER_CHARS);
    Writer output = new OutputStreamWriter(System.out, StandardCharsets.UTF_8);
    long batchNumber = 0;
    for (String line = input.readLine(); line != null; line = input.readLine()) {
      batchNumber++;
      if (line.isEmpty()) {
        continue;
      }
      output.write(replyOrExit(adapter, line, batchNumber));
      output.write('\n');
      output.flush();
    }
  }

  private static String replyOrExit(SimulatorAdapter adapter, String line, long batchNumber) {
    try {
      return adapter.reply(line);
    } catch (BatchException exception) {
      System.err.println("bitternpulley: batch " + batchNumber + ": " + exception.getMessage());
      System.exit(STATUS_UNUSABLE_INPUT);
      throw exception;
    }
  }
}
