package bitternpulley.process;

import bitternpulley.process.FakeSlotServer.Behavior;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/**
 * Starts the program for each test. After the test, checks the rules of {@link AttemptLog} for both
 * protocols.
 */
abstract class ProcessTest {
  protected Deployment deployment;

  @BeforeMethod
  public void start() throws IOException {
    deployment = new Deployment().startAndAwaitReady();
  }

  @AfterMethod(alwaysRun = true)
  public void stop() throws IOException {
    try {
      deployment.attemptLog.checkRules("platform");
      deployment.attemptLog.checkRules("opensearch");
    } finally {
      deployment.close();
    }
  }

  /** Starts a new deployment with another limit on pending queries and parts. */
  protected void restartWithMaxPending(int maxPending) throws IOException {
    deployment.close();
    deployment = new Deployment();
    ((ObjectNode) deployment.config().at("/settings/policyLimits")).put("maxOpen", maxPending);
    deployment.startAndAwaitReady();
  }

  protected void setAllServers(Behavior behavior) {
    deployment.servers.forEach(server -> server.behavior = (index, shard) -> behavior);
  }

  /** Sets what all servers do with one shard; they serve all others. */
  protected void setShardBehavior(int shard, Behavior behavior) {
    deployment.servers.forEach(
        server ->
            server.behavior =
                (index, requestedShard) -> requestedShard == shard ? behavior : Behavior.SERVE);
  }

  /** Sends a platform query under a new id, and returns the status of its answer. */
  protected int queryStatus(String idPrefix, int... shards) {
    try {
      return deployment.sendQuery("slot-search", idPrefix + System.nanoTime(), shards).status();
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  protected boolean isReady() {
    try {
      return TestClient.exchange(deployment.listenAddress, "GET /-/ready HTTP/1.1\r\n\r\n", "")
              .status()
          == 200;
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }
}
