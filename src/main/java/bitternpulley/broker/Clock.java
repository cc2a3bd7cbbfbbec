package bitternpulley.broker;

/** A clock in ms; tests provide their own. */
public interface Clock {
  /** The current time, in ms. */
  double now();

  /**
   * A clock that starts at the system's Unix time and is monotonic from then on. Its times can be
   * compared with the timestamps of discovery, and adjustments of the system clock do not affect
   * durations.
   */
  static Clock system() {
    double wallStartMs = System.currentTimeMillis();
    long startNs = System.nanoTime();
    return () -> wallStartMs + (System.nanoTime() - startNs) / 1e6;
  }
}
