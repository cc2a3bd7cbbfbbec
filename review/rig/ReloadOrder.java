import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * The operators' script is replaced by one with 2,000 contracts, and 40 ms later by the earlier one;
 * each time SIGHUP is sent. Checked is, by the account of its team, whether the later script is in
 * force in the end. Without the disruption the second change comes 5 s after the first.
 */
final class ReloadOrder {
  private ReloadOrder() {}

  public static void main(String[] arguments) {
    Rig.main(arguments, ReloadOrder::run);
  }

  private static int run(Rig rig, boolean trouble) throws Exception {
    Path script = rig.folder.resolve("broker.star");
    Files.writeString(script, contracts(2, 0.5));
    rig.environment.put("LB_BROKER", script.toString());
    rig.startFrameServers(50);
    Process aggregator = rig.startAggregator();
    rig.awaitReady(aggregator);
    TimeUnit.SECONDS.sleep(2);
    Files.writeString(script, contracts(2000, 0.1));
    rig.signal("HUP", aggregator);
    TimeUnit.MILLISECONDS.sleep(trouble ? 40 : 5000);
    Files.writeString(script, contracts(2, 0.4));
    rig.signal("HUP", aggregator);
    TimeUnit.SECONDS.sleep(4);
    query(rig);
    String accounts = rig.callAdmin("accounts");
    rig.note("accounts: " + accounts);
    rig.note("the default contract's share is 0.4 in the later script, 0.1 in the earlier one");
    return accounts.contains("\"share\":0.4,") ? Rig.HELD : Rig.BROKEN;
  }

  private static void query(Rig rig) throws IOException {
    try (Rig.Client client = new Rig.Client(rig.listen, 3700)) {
      String headers = "Request-Id: q1\r\nRequest-Timeout: 3.000\r\n";
      rig.note("query: " + client.post("/slot-search", headers, Rig.query(1, 2)).status());
    }
  }

  private static String contracts(int teams, double defaultShare) {
    return String.format(
        Locale.ROOT,
        """
        accounts(list = True)
        for number in range(%d):
            contract(
                id = "team-" + str(number),
                share = %f,
                classes = {"slot-search": terms(), "stock-report": terms(least_share = 0.9)},
            )
        contract(
            id = "others",
            share = %.2f,
            default = True,
            classes = {"slot-search": terms()},
        )
        """,
        teams,
        0.4 / teams,
        defaultShare);
  }
}
