package bitternpulley.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import bitternpulley.contracts.TenantIdentification;
import bitternpulley.process.Deployment.Reply;
import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import java.util.HexFormat;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Contracts through the real program, on both fronts. */
public class ContractsProcessTest extends ProcessTest {
  private static final String SECRET = "a-long-and-random-secret";
  private static final String SALT = "0102030405060708";

  @BeforeMethod
  @Override
  public void start() throws java.io.IOException {
    d = new Deployment();
    Files.writeString(script(), teams(SECRET, 2));
    d.withBroker(script()).startAndAwaitReady();
  }

  private Path script() {
    return d.folder().resolve("broker.star");
  }

  private String teams(String secret, int holds) {
    String hash =
        HexFormat.of()
            .formatHex(
                TenantIdentification.hash(
                    HexFormat.of().parseHex(SALT), secret.getBytes(StandardCharsets.UTF_8)));
    return "opensearch(listen = '"
        + d.searchListen
        + "', server_port = "
        + d.searchPort
        + ", indices = {"
        + "'slots': {'class': 'slot-search'}, 'bookings': {'class': 'slot-booking', 'sections': [0]}})\n"
        + "accounts(list = True)\n"
        + "contract(id = 'app', share = 0.5, holds = "
        + holds
        + ", platform = ['slot-search'], classes = {'slot-search': terms()})\n"
        + "contract(id = 'desk', share = 0.2, platform = ['stock-report'], classes = {'stock-report': terms()})\n"
        + "contract(id = 'partners', share = 0.3, classes = {'slot-booking': terms(), 'slot-search': terms()}, "
        + "keys = [{'id': 'p', 'salt': '"
        + SALT
        + "', 'sha256': '"
        + hash
        + "'}])\n";
  }

  private static String key(String secret) {
    return "Authorization: ApiKey "
        + Base64.getEncoder().encodeToString(("p:" + secret).getBytes(StandardCharsets.UTF_8));
  }

  private Reply booking(String secret, String token) throws Exception {
    return d.search("/bookings/_search", "{}", key(secret), "Idempotency-Key: " + token);
  }

  @Test
  public void aTeamIsKnownByItsKeyOrItsClassAndByNothingElse() throws Exception {
    assertEquals(booking(SECRET, "t1").status(), 200);
    Reply wrong = booking("another", "t2");
    assertEquals(wrong.status(), 401);
    assertEquals(wrong.headers().get("www-authenticate"), "ApiKey");
    assertEquals(
        d.search("/bookings/_search", "{}", "Idempotency-Key: t3").status(),
        401,
        "no key, and no index of a team");
    assertEquals(d.ask("slot-search", "q1", 0).status(), 200);
    Reply nobody = d.ask("slot-booking", "q2", 0);
    assertEquals(nobody.status(), 429, "a class that no team has on this front");
    assertTrue(nobody.body().contains("no contract"), nobody.body());
    assertFalse(nobody.headers().containsKey("retry-after"), "no time at which it would be let in");
  }

  /** A refusal by contract proves that nothing has run, and names what was met. */
  @Test
  public void aRefusalNamesContractVersionAndLimitAndNothingOfItHasRun() throws Exception {
    int before = d.log.all().size();
    Reply refused = d.ask("slot-search", "wide", 0, 1, 2);
    assertEquals(refused.status(), 429);
    assertTrue(refused.body().contains("contract app, version 1: holds"), refused.body());
    assertTrue(Double.parseDouble(refused.headers().get("retry-after")) > 0);
    assertEquals(d.log.all().size(), before);
    JsonNode accounts = Deployment.JSON.readTree(d.order("accounts app").substring(4));
    assertEquals(accounts.at("/accounts/0/refused/holds").asInt(), 1, accounts.toString());
  }

  @Test
  public void aChangeHoldsFromSighupOnAndABadFileChangesNothing() throws Exception {
    assertEquals(d.ask("slot-search", "before", 0, 1, 2).status(), 429);
    Files.writeString(script(), teams("rotated", 100));
    d.mustOrder("reload");
    assertEquals(d.ask("slot-search", "after", 0, 1, 2).status(), 200);
    assertEquals(booking(SECRET, "old").status(), 401);
    assertEquals(booking("rotated", "new").status(), 200);
    Files.writeString(script(), teams("rotated", 100).replace("share = 0.5", "share = 0.9"));
    String refused = d.order("reload");
    assertTrue(refused.startsWith("400") && refused.contains("'contracts.1.share'"), refused);
    assertEquals(d.ask("slot-search", "still", 0, 1, 2).status(), 200);
    assertTrue(d.output.stream().anyMatch(l -> l.contains("Contracts activated: version 2, ")));
  }

  /** A query that is open when its contract changes keeps its one final answer. */
  @Test
  public void whatIsOpenEndsUnderTheContractThatLetItIn() throws Exception {
    d.servers.forEach(s -> s.act = (index, section) -> StandIn.Act.SILENT);
    try (java.net.Socket client = Deployment.connect(d.listen)) {
      client.getOutputStream().write(Deployment.query("slot-search", "open", 4.0, 2).getBytes());
      Deployment.await("it is sent", () -> !d.log.all().isEmpty());
      Files.writeString(
          script(),
          teams(SECRET, 2)
              .lines()
              .filter(l -> !l.contains("'app'"))
              .reduce("", (a, b) -> a + b + "\n"));
      d.mustOrder("reload");
      d.servers.forEach(s -> s.act = (index, section) -> StandIn.Act.SERVE);
      assertEquals(Deployment.reply(client).status(), 200);
    }
    Deployment.await(
        "its team is gone",
        () -> {
          try {
            return d.ask("slot-search", "x" + System.nanoTime(), 0).body().contains("no contract");
          } catch (java.io.IOException e) {
            throw new AssertionError(e);
          }
        });
  }

  @Test
  public void aFaultyScriptEndsTheProgramAndNamesTheKey() throws Exception {
    try (Deployment bad = new Deployment()) {
      Path file = bad.folder().resolve("broker.star");
      Files.writeString(
          file, "contract(id = 'a', share = 2, classes = {'slot-search': terms()})\n");
      bad.withBroker(file).start();
      assertTrue(bad.process.waitFor(30, java.util.concurrent.TimeUnit.SECONDS));
      assertEquals(bad.process.exitValue(), 2);
      Deployment.await(
          "the key", () -> bad.output.stream().anyMatch(l -> l.contains("'contracts.0.share'")));
    }
  }
}
