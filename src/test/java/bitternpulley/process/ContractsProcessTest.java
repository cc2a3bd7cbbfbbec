package bitternpulley.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import bitternpulley.contracts.TenantIdentification;
import bitternpulley.process.TestClient.Reply;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import java.util.HexFormat;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Contracts enforced by the real program, on both front ends. */
public class ContractsProcessTest extends ProcessTest {
  private static final String SECRET = "a-long-and-random-secret";
  private static final String SALT = "0102030405060708";

  @BeforeMethod
  @Override
  public void start() throws IOException {
    deployment = new Deployment();
    Files.writeString(script(), tenantsScript(SECRET, 2));
    deployment.withOperatorsScript(script()).startAndAwaitReady();
  }

  private Path script() {
    return deployment.folder().resolve("broker.star");
  }

  private String tenantsScript(String secret, int maxPending) {
    String hash =
        HexFormat.of()
            .formatHex(
                TenantIdentification.hash(
                    HexFormat.of().parseHex(SALT), secret.getBytes(StandardCharsets.UTF_8)));
    return "opensearch(listen = '"
        + deployment.searchListenAddress
        + "', server_port = "
        + deployment.searchServerPort
        + ", indices = {"
        + "'slots': {'class': 'slot-search'}, "
        + "'bookings': {'class': 'slot-booking', 'sections': [0]}})\n"
        + "accounts(list = True)\n"
        + "contract(id = 'app', share = 0.5, holds = "
        + maxPending
        + ", platform = ['slot-search'], classes = {'slot-search': terms()})\n"
        + "contract(id = 'desk', share = 0.2, platform = ['stock-report'], "
        + "classes = {'stock-report': terms()})\n"
        + "contract(id = 'partners', share = 0.3, "
        + "classes = {'slot-booking': terms(), 'slot-search': terms()}, "
        + "keys = [{'id': 'p', 'salt': '"
        + SALT
        + "', 'sha256': '"
        + hash
        + "'}])\n";
  }

  private static String apiKeyHeader(String secret) {
    return "Authorization: ApiKey "
        + Base64.getEncoder().encodeToString(("p:" + secret).getBytes(StandardCharsets.UTF_8));
  }

  private Reply searchBookings(String secret, String idempotencyKey) throws IOException {
    return deployment.sendSearch(
        "/bookings/_search", "{}", apiKeyHeader(secret), "Idempotency-Key: " + idempotencyKey);
  }

  @Test
  public void identifiesTenantByApiKeyOrQueryClassOnly() throws Exception {
    assertEquals(searchBookings(SECRET, "t1").status(), 200);
    Reply wrongKey = searchBookings("another", "t2");
    assertEquals(wrongKey.status(), 401);
    assertEquals(wrongKey.headers().get("www-authenticate"), "ApiKey");
    assertEquals(
        deployment.sendSearch("/bookings/_search", "{}", "Idempotency-Key: t3").status(),
        401,
        "no API key, and no index of a tenant");
    assertEquals(deployment.sendQuery("slot-search", "q1", 0).status(), 200);
    Reply noTenant = deployment.sendQuery("slot-booking", "q2", 0);
    assertEquals(noTenant.status(), 429, "no tenant has this class on this front end");
    assertTrue(noTenant.body().contains("no contract"), noTenant.body());
    assertFalse(
        noTenant.headers().containsKey("retry-after"), "a retry would not be admitted either");
  }

  /** A rejection by contract shows that the query has not run, and names the limit reached. */
  @Test
  public void rejectsBeforeAnyAttemptAndNamesContractVersionAndLimit() throws Exception {
    int attemptsBefore = deployment.attemptLog.all().size();
    Reply rejected = deployment.sendQuery("slot-search", "wide", 0, 1, 2);
    assertEquals(rejected.status(), 429);
    assertTrue(rejected.body().contains("contract app, version 1: holds"), rejected.body());
    assertTrue(Double.parseDouble(rejected.headers().get("retry-after")) > 0);
    assertEquals(deployment.attemptLog.all().size(), attemptsBefore);
    JsonNode accounts = Deployment.JSON.readTree(deployment.callAdmin("accounts app").substring(4));
    assertEquals(accounts.at("/accounts/0/refused/holds").asInt(), 1, accounts.toString());
  }

  @Test
  public void appliesChangedContractsOnReloadAndIgnoresInvalidScript() throws Exception {
    assertEquals(deployment.sendQuery("slot-search", "before", 0, 1, 2).status(), 429);
    Files.writeString(script(), tenantsScript("rotated", 100));
    deployment.callAdminExpectingOk("reload");
    assertEquals(deployment.sendQuery("slot-search", "after", 0, 1, 2).status(), 200);
    assertEquals(searchBookings(SECRET, "old").status(), 401);
    assertEquals(searchBookings("rotated", "new").status(), 200);
    Files.writeString(
        script(), tenantsScript("rotated", 100).replace("share = 0.5", "share = 0.9"));
    String reloadReply = deployment.callAdmin("reload");
    assertTrue(
        reloadReply.startsWith("400") && reloadReply.contains("'contracts.1.share'"), reloadReply);
    assertEquals(deployment.sendQuery("slot-search", "still", 0, 1, 2).status(), 200);
    assertTrue(
        deployment.output.stream()
            .anyMatch(line -> line.contains("Contracts activated: version 2, ")));
  }

  /** A query that is pending when its contract is removed still gets its one final answer. */
  @Test
  public void completesPendingQueryAfterItsContractIsRemoved() throws Exception {
    setAllServers(FakeSlotServer.Behavior.SILENT);
    try (Socket client = TestClient.connect(deployment.listenAddress)) {
      TestClient.send(client, TestClient.queryRequest("slot-search", "open", 4.0, 2));
      Deployment.await("the query to be sent", () -> !deployment.attemptLog.all().isEmpty());
      Files.writeString(
          script(),
          tenantsScript(SECRET, 2)
              .lines()
              .filter(line -> !line.contains("'app'"))
              .reduce("", (text, line) -> text + line + "\n"));
      deployment.callAdminExpectingOk("reload");
      setAllServers(FakeSlotServer.Behavior.SERVE);
      assertEquals(TestClient.readReply(client).status(), 200);
    }
    Deployment.await(
        "the contract to be removed",
        () -> {
          try {
            return deployment
                .sendQuery("slot-search", "x" + System.nanoTime(), 0)
                .body()
                .contains("no contract");
          } catch (IOException e) {
            throw new AssertionError(e);
          }
        });
  }

  @Test
  public void exitsNamingTheKeyOfInvalidScript() throws Exception {
    try (Deployment invalid = new Deployment()) {
      Path file = invalid.folder().resolve("broker.star");
      Files.writeString(
          file, "contract(id = 'a', share = 2, classes = {'slot-search': terms()})\n");
      invalid.withOperatorsScript(file).start();
      assertTrue(invalid.process.waitFor(30, TimeUnit.SECONDS));
      assertEquals(invalid.process.exitValue(), 2);
      Deployment.await(
          "the key in the log",
          () -> invalid.output.stream().anyMatch(line -> line.contains("'contracts.0.share'")));
    }
  }
}
