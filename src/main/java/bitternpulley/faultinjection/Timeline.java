package bitternpulley.faultinjection;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Log of the injected faults and of the observations, in order, as JSON lines such as {@code
 * {"at_ms":1234,"kind":"inject","what":"kill n3","of":""}}.
 */
public final class Timeline implements AutoCloseable {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final long startNanos = System.nanoTime();
  private final Path file;
  private final Writer writer;
  private int faultCount;

  /** Creates the file {@code target/faults/NAME-SEED.jsonl}. */
  public Timeline(String name, long seed) throws IOException {
    file =
        Files.createDirectories(Path.of("target", "faults")).resolve(name + "-" + seed + ".jsonl");
    writer = Files.newBufferedWriter(file);
  }

  /** Returns the time in ms since this timeline was created. */
  public double elapsedMs() {
    return (System.nanoTime() - startNanos) / 1e6;
  }

  /** Records that a scenario injects or removes a fault. */
  public synchronized void recordFault(String fault) {
    faultCount++;
    writeLine("inject", fault, "");
  }

  /** Records an observation, with its subject or value. */
  public synchronized void recordObservation(String observation, Object subject) {
    writeLine("see", observation, subject);
  }

  private void writeLine(String kind, String event, Object subject) {
    ObjectNode line =
        JSON.createObjectNode()
            .put("at_ms", Math.round(elapsedMs()))
            .put("kind", kind)
            .put("what", event)
            .put("of", String.valueOf(subject));
    try {
      writer.write(line + "\n");
      writer.flush();
    } catch (IOException exception) {
      throw new UncheckedIOException(exception);
    }
  }

  /** Returns how many faults were injected or removed so far. */
  public synchronized int countFaults() {
    return faultCount;
  }

  /** Returns the file to which this timeline is written. */
  public Path file() {
    return file;
  }

  @Override
  public void close() throws IOException {
    writer.close();
  }
}
