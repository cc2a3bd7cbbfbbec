package bitternpulley.benchmark;

import java.util.concurrent.TimeUnit;

/**
 * Runs a measurement with a time limit and then ends the JVM, which the threads of the event loops
 * would otherwise keep alive after a failure.
 */
final class MeasurementRunner {
  private MeasurementRunner() {}

  /** The code of a measurement. */
  interface Measurement {
    void run() throws Exception;
  }

  /** Runs a measurement and ends the JVM: with status 0, or 1 after a failure or a time-out. */
  static void run(int timeoutSeconds, Measurement measurement) {
    new Thread(
            () -> {
              try {
                TimeUnit.SECONDS.sleep(timeoutSeconds);
                System.err.println("measurement did not end within " + timeoutSeconds + " s");
              } catch (InterruptedException exception) {
                // Ends the JVM as after the time-out.
              }
              Runtime.getRuntime().halt(1);
            },
            "measurement-timeout")
        .start();
    try {
      measurement.run();
      System.exit(0);
    } catch (Exception | AssertionError exception) {
      exception.printStackTrace();
      System.exit(1);
    }
  }
}
