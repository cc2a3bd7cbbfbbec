package bitternpulley.benchmark;

import java.util.concurrent.TimeUnit;

/**
 * Ends a measurement, whatever happens: the loops' threads would keep a program alive that has
 * failed.
 */
final class Bounded {
  private Bounded() {}

  /** What is measured. */
  interface Task {
    void run() throws Exception;
  }

  /** Runs it and ends the program: with status 0, or 1 where it failed or took longer. */
  static void run(int seconds, Task task) {
    new Thread(
            () -> {
              try {
                TimeUnit.SECONDS.sleep(seconds);
                System.err.println("took longer than " + seconds + " s");
              } catch (InterruptedException e) {
                // ended all the same
              }
              Runtime.getRuntime().halt(1);
            },
            "end")
        .start();
    try {
      task.run();
      System.exit(0);
    } catch (Exception | AssertionError e) {
      e.printStackTrace();
      System.exit(1);
    }
  }
}
