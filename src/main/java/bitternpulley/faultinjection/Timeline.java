package bitternpulley.faultinjection;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * What was injected and what was seen, in order, as JSON lines: {@code
 * {"at_ms":1234,"what":"kill","of":"n3"}}.
 */
public final class Timeline implements AutoCloseable {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final long start = System.nanoTime();
  private final Path file;
  private final Writer out;
  private int injected;

  /** Written to {@code target/faults/NAME-SEED.jsonl}. */
  public Timeline(String name, long seed) throws IOException {
    file =
        Files.createDirectories(Path.of("target", "faults")).resolve(name + "-" + seed + ".jsonl");
    out = Files.newBufferedWriter(file);
  }

  /** Ms since it began. */
  public double now() {
    return (System.nanoTime() - start) / 1e6;
  }

  /** A fault that the scenario puts in, or takes away. */
  public synchronized void inject(String fault) {
    injected++;
    line("inject", fault, "");
  }

  /** Something that came of it. */
  public synchronized void see(String what, Object of) {
    line("see", what, of);
  }

  private void line(String kind, String what, Object of) {
    ObjectNode line =
        JSON.createObjectNode()
            .put("at_ms", Math.round(now()))
            .put("kind", kind)
            .put("what", what)
            .put("of", String.valueOf(of));
    try {
      out.write(line + "\n");
      out.flush();
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  /** Faults put in or taken away so far. */
  public synchronized int injected() {
    return injected;
  }

  public Path file() {
    return file;
  }

  @Override
  public void close() throws IOException {
    out.close();
  }
}
