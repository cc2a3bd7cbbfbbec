import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * The operators' script is replaced by one that cannot be used, as a list in it comes out far too
 * long, and SIGHUP is sent. Without the disruption the script is as before. Sound clients send
 * queries all the time.
 */
final class UnusableScript {
  private static final String CONTRACTS =
      """
      accounts(list = True)

      contract(
          id = "donor-app",
          share = 0.6,
          platform = ["slot-search"],
          classes = {"slot-search": terms()},
          default = True,
      )
      contract(
          id = "stock-desk",
          share = 0.3,
          platform = ["stock-report"],
          classes = {"stock-report": terms(least_share = 0.9)},
      )
      """;

  private static final String TOO_LONG =
      """

      centres = ["centre-" + str(number) for number in range(1200000)]
      """;

  private UnusableScript() {}

  public static void main(String[] arguments) {
    Rig.main(arguments, UnusableScript::run);
  }

  private static int run(Rig rig, boolean trouble) throws Exception {
    Path script = rig.folder.resolve("broker.star");
    Files.writeString(script, CONTRACTS);
    rig.environment.put("LB_BROKER", script.toString());
    rig.startFrameServers(50);
    Process aggregator = rig.startAggregator();
    rig.awaitReady(aggregator);
    Queries queries = new Queries(rig);
    for (int number = 1; number <= 16; number++) {
      queries.send();
      if (number == 6) {
        Files.writeString(script, trouble ? CONTRACTS + TOO_LONG : CONTRACTS);
        rig.signal("HUP", aggregator);
      }
      TimeUnit.MILLISECONDS.sleep(500);
    }
    queries.join();
    rig.note(queries.toString());
    if (aggregator.waitFor(1, TimeUnit.SECONDS)) {
      rig.note("THE AGGREGATOR HAS ENDED with status " + aggregator.exitValue());
      return Rig.BROKEN;
    }
    return queries.lost() == 0 ? Rig.HELD : Rig.BROKEN;
  }
}
