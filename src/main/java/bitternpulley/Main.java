package bitternpulley;

import java.io.IOException;

/**
 * Starts the real aggregator, its rehearsal at the build, or the decision module on the simulator's
 * pipe.
 */
public final class Main {
  private Main() {}

  public static void main(String[] args) throws IOException {
    String what =
        args.length == 1 || (args.length == 2 && args[0].equals("check"))
            ? args[0] + "/" + args.length
            : "";
    switch (what) {
      case "serve/1" -> Aggregator.main();
      case "rehearse/1" -> Aggregator.rehearse();
      case "simhost/1" -> bitternpulley.simulator.Main.main(args);
      case "check/2" -> System.exit(Check.main(args[1]));
      default -> {
        System.err.println("usage: serve | simhost | rehearse | check FILE");
        System.exit(2);
      }
    }
  }
}
