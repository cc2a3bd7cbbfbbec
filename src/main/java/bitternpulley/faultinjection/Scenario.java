package bitternpulley.faultinjection;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * What befalls a cluster, and when: lines of a time in ms and a fault as {@link Cluster#does} takes
 * it, for example
 *
 * <pre>
 * 1000 lose 0.05 all = all
 * 2000 pause n1
 * 5000 resume n1
 * 6000 cut zone:gulberg &gt; zone:johar
 * </pre>
 *
 * The same lines with the same seed do the same again.
 */
public final class Scenario {
  private record Step(double at, String fault) {}

  private final List<Step> steps = new ArrayList<>();

  /** The steps of a text; blank lines and what follows a {@code #} are passed over. */
  public static Scenario of(String text) {
    Scenario scenario = new Scenario();
    for (String line : text.lines().toList()) {
      String said = line.replaceAll("#.*", "").trim();
      if (!said.isEmpty()) {
        String[] words = said.split("\\s+", 2);
        if (words.length < 2 || !words[0].matches("[0-9]+")) {
          throw new IllegalArgumentException("a line is a time in ms and a fault: " + line);
        }
        scenario.at(Double.parseDouble(words[0]), words[1]);
      }
    }
    return scenario;
  }

  /** One more step, so many ms after the beginning. */
  public Scenario at(double ms, String fault) {
    steps.add(new Step(ms, fault));
    return this;
  }

  /** Does all of it to a cluster, each step in its time, and returns after the last. */
  public void play(Cluster cluster) throws IOException, InterruptedException {
    double from = cluster.timeline().now();
    List<Step> order = new ArrayList<>(steps);
    order.sort(Comparator.comparingDouble(Step::at));
    for (Step step : order) {
      double left = from + step.at() - cluster.timeline().now();
      if (left > 0) {
        TimeUnit.MICROSECONDS.sleep((long) (left * 1000));
      }
      cluster.does(step.fault());
    }
  }
}
