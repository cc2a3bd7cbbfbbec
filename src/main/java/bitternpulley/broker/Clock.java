package bitternpulley.broker;

/** The clock of the program, in ms; tests set their own. */
public interface Clock {
  /** The current time, in ms. */
  double now();

  /**
   * A clock that starts at the system's Unix time and is monotonic from then on. Its times can be
   * compared with discovery's timestamps, and adjustments of the system's clock change no duration.
   */
  static Clock system() {
    double wallStartMs = System.currentTimeMillis();
    long startNs = System.nanoTime();
    return () -> wallStartMs + (System.nanoTime() - startNs) / 1e6;
  }
}
