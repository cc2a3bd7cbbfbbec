package bitternpulley.broker;

/** The time in milliseconds; what the whole program goes by, so that a test can set it. */
public interface Clock {
  double now();

  /**
   * Unix time as it was at the start, moved on by the monotonic clock: a stamp of discovery can be
   * compared with it, and no step of the system's clock bends a duration.
   */
  static Clock system() {
    double wall = System.currentTimeMillis();
    long start = System.nanoTime();
    return () -> wall + (System.nanoTime() - start) / 1e6;
  }
}
