package bitternpulley.simulator;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.io.Writer;
import java.nio.charset.StandardCharsets;

/** Hosts the decision module on a pipe: a line of events in, a line of actions out. */
public final class Main {
  private Main() {}

  public static void main(String[] args) throws IOException {
    Host host = new Host();
    BufferedReader in =
        new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8), 1 << 16);
    Writer out = new OutputStreamWriter(System.out, StandardCharsets.UTF_8);
    long batch = 0;
    for (String line = in.readLine(); line != null; line = in.readLine()) {
      batch++;
      if (line.isEmpty()) {
        continue;
      }
      try {
        out.write(host.reply(line));
      } catch (WireException e) {
        System.err.println("bitternpulley: batch " + batch + ": " + e.getMessage());
        System.exit(2);
      }
      out.write('\n');
      out.flush();
    }
  }
}
