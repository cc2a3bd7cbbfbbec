package bitternpulley;

import bitternpulley.aggregator.Aggregator;
import bitternpulley.config.ConfigurationException;
import java.io.IOException;
import java.nio.file.Path;

/** Command line of the jar: runs the command that the first argument names. */
public final class Main {
  private static final String USAGE = "usage: serve | simhost | rehearse | check FILE";

  /** Exit status for an invalid command line or configuration. */
  private static final int STATUS_INVALID_INPUT = 2;

  private Main() {}

  /**
   * Runs one command.
   *
   * @param args the command and, for {@code check}, the operators' script
   * @throws IOException when the simulator's pipe fails
   */
  public static void main(String[] args) throws IOException {
    if (args.length == 2 && args[0].equals("check")) {
      exitOnConfigurationError(() -> CheckCommand.run(Path.of(args[1])));
    } else if (args.length == 1) {
      runCommand(args);
    } else {
      exitWithError(USAGE);
    }
  }

  private static void runCommand(String[] args) throws IOException {
    switch (args[0]) {
      case "serve" -> exitOnConfigurationError(Aggregator::serve);
      case "rehearse" -> exitOnConfigurationError(Aggregator::serveUntilReady);
      case "simhost" -> bitternpulley.simulator.Main.main(args);
      default -> exitWithError(USAGE);
    }
  }

  private static void exitOnConfigurationError(Runnable command) {
    try {
      command.run();
    } catch (ConfigurationException exception) {
      exitWithError("configuration: " + exception.getMessage());
    }
  }

  private static void exitWithError(String message) {
    System.err.println(message);
    System.exit(STATUS_INVALID_INPUT);
  }
}
