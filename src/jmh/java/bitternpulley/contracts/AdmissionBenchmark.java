package bitternpulley.contracts;

import bitternpulley.routing.Router;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the cost of one query in admission control: the query is admitted, one attempt is sent
 * and answered, and the charge is settled. The queries come from all tenants in turn.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class AdmissionBenchmark {
  private static final int QUERY_CLASS = 0;
  private static final double LATENCY_OBJECTIVE_MS = 500;
  private static final double MAX_RETRY_AFTER_MS = 2000;
  private static final double ATTEMPT_MS = 20;
  private static final int UNANSWERED_QUERIES = 100;

  /** The number of contracts. */
  @Param({"10", "10000"})
  public int contracts;

  /** Whether capacity is scarce, so that every query is charged to the quota buckets. */
  @Param({"false", "true"})
  public boolean scarce;

  private AdmissionControl control;
  private AdmissionRequest[] requests;
  private double now;
  private int nextRequest;

  /** Applies the contracts and, for the scarce case, limits capacity. */
  @Setup
  public void applyContracts() {
    Map<String, Contract> byTenant = new LinkedHashMap<>();
    requests = new AdmissionRequest[contracts];
    for (int i = 0; i < contracts; i++) {
      String tenant = "t" + i;
      byTenant.put(tenant, contract(tenant));
      requests[i] = new AdmissionRequest(tenant, QUERY_CLASS, 1, 0, false, i + 1);
    }
    control = new AdmissionControl(new double[] {LATENCY_OBJECTIVE_MS}, MAX_RETRY_AFTER_MS);
    control.apply(new ContractSet(1, byTenant, null), 0);
    if (scarce) {
      limitCapacity();
    }
  }

  private Contract contract(String tenant) {
    Map<Integer, Router.ClassTerms> classes =
        Map.of(QUERY_CLASS, new Router.ClassTerms(LATENCY_OBJECTIVE_MS, 1500, 1, 1));
    return new Contract(tenant, 0.9 / contracts, 1, 500, true, true, 0.2, 0.5, 1000, classes);
  }

  /**
   * Admits queries that are never answered. This limits the admitted rate, which then follows the
   * rate of delivered work.
   */
  private void limitCapacity() {
    for (int i = 0; i < UNANSWERED_QUERIES; i++) {
      control.admit(requests[i % contracts], 0);
    }
    now = 1000;
    control.advance(now);
    if (Double.isInfinite(control.capacity())) {
      throw new IllegalStateException("capacity is not limited");
    }
  }

  /** One query from admission to settlement. */
  @Benchmark
  public Object admittedAndSettled() {
    now += 1;
    nextRequest = nextRequest + 1 == contracts ? 0 : nextRequest + 1;
    AdmissionDecision decision = control.admit(requests[nextRequest], now);
    if (decision instanceof UsageCharge charge) {
      control.onAttemptSent(charge);
      control.onAttemptEnded(charge, Router.Outcome.OK, ATTEMPT_MS, now);
      control.onRequestEnded(charge, true, now);
    }
    return decision;
  }
}
