package bitternpulley.process;

import java.io.IOException;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/** A program of its own for each test, and the rule checks after each, over both dialects. */
abstract class ProcessTest {
  protected Deployment d;

  @BeforeMethod
  public void start() throws IOException {
    d = new Deployment().startAndAwaitReady();
  }

  @AfterMethod(alwaysRun = true)
  public void stop() throws IOException {
    try {
      d.log.check("platform");
      d.log.check("opensearch");
    } finally {
      d.close();
    }
  }

  /** Starts anew with another limit on what may be held. */
  protected void restartHolding(int most) throws IOException {
    d.close();
    d = new Deployment();
    ((com.fasterxml.jackson.databind.node.ObjectNode) d.config().at("/settings/policyLimits"))
        .put("maxOpen", most);
    d.startAndAwaitReady();
  }

  protected boolean ready() {
    try {
      return Deployment.call(d.listen, "GET /-/ready HTTP/1.1\r\n\r\n", "").status() == 200;
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }
}
