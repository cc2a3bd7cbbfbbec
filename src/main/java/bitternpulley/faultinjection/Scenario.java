package bitternpulley.faultinjection;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A sequence of timed faults for a cluster. Each line of its text has a time in ms and a fault in
 * the syntax of {@link Cluster#applyFault}, for example
 *
 * <pre>
 * 1000 lose 0.05 all = all
 * 2000 pause n1
 * 5000 resume n1
 * 6000 cut zone:gulberg &gt; zone:johar
 * </pre>
 *
 * The same lines with the same seed inject the same faults.
 */
public final class Scenario {
  /** A fault and its time in ms since the start of the scenario. */
  private record Step(double atMs, String fault) {}

  private final List<Step> steps = new ArrayList<>();

  /** Parses a scenario; blank lines and what follows a {@code #} are ignored. */
  public static Scenario parse(String text) {
    Scenario scenario = new Scenario();
    for (String line : text.lines().toList()) {
      String statement = line.replaceAll("#.*", "").trim();
      if (!statement.isEmpty()) {
        String[] words = statement.split("\\s+", 2);
        if (words.length < 2 || !words[0].matches("[0-9]+")) {
          throw new IllegalArgumentException(
              "a scenario line must have a time in ms and a fault: " + line);
        }
        scenario.addStep(Double.parseDouble(words[0]), words[1]);
      }
    }
    return scenario;
  }

  /** Adds a fault at a time in ms since the start of the scenario. */
  public Scenario addStep(double atMs, String fault) {
    steps.add(new Step(atMs, fault));
    return this;
  }

  /** Injects each fault into the cluster at its time, and returns after the last one. */
  public void run(Cluster cluster) throws IOException, InterruptedException {
    double startMs = cluster.timeline().elapsedMs();
    List<Step> orderedSteps = new ArrayList<>(steps);
    orderedSteps.sort(Comparator.comparingDouble(Step::atMs));
    for (Step step : orderedSteps) {
      double remainingMs = startMs + step.atMs() - cluster.timeline().elapsedMs();
      if (remainingMs > 0) {
        TimeUnit.MICROSECONDS.sleep((long) (remainingMs * 1000));
      }
      cluster.applyFault(step.fault());
    }
  }
}
