package bitternpulley.policy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * The arrivals of the answers to the parts of one step, in the order in which they were recorded.
 * If the step is answered without a part, an assumed arrival of that part is recorded.
 */
final class StepArrivals {
  /**
   * The answer to one part: its arrival in ms since the start of the step, and the weight of the
   * part.
   */
  record Arrival(double elapsed, double weight) {}

  private final List<Arrival> arrivals = new ArrayList<>();
  private final List<Arrival> view = Collections.unmodifiableList(arrivals);
  private double startedAt;

  void start(double time) {
    startedAt = time;
  }

  void add(double time, double weight) {
    arrivals.add(new Arrival(time - startedAt, weight));
  }

  double startedAt() {
    return startedAt;
  }

  boolean isEmpty() {
    return arrivals.isEmpty();
  }

  List<Arrival> arrivals() {
    return view;
  }
}
