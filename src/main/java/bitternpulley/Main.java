package bitternpulley;

import java.io.IOException;

/** Starts the real aggregator, its rehearsal at the build, or the decision module on the simulator's pipe. */
public final class Main {
  private Main() {}

  public static void main(String[] args) throws IOException {
    String what = args.length == 1 ? args[0] : "";
    switch (what) {
      case "serve" -> Aggregator.main();
      case "rehearse" -> Aggregator.rehearse();
      case "simhost" -> bitternpulley.simhost.Main.main(args);
      default -> {
        System.err.println("usage: serve | simhost | rehearse");
        System.exit(2);
      }
    }
  }
}
