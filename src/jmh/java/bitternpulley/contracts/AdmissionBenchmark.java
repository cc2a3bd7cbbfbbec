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
 * The cost of one query in admission control: admitted, one attempt sent and answered, settled. The
 * queries come from one team after another.
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

  /** Whether capacity was scarce, so that every query is charged to the quota buckets. */
  @Param({"false", "true"})
  public boolean scarce;

  private AdmissionControl control;
  private AdmissionRequest[] requests;
  private double now;
  private int next;

  /** Puts the contracts in force and, for the scarce case, limits capacity. */
  @Setup
  public void applyContracts() {
    Map<String, Contract> byTeam = new LinkedHashMap<>();
    requests = new AdmissionRequest[contracts];
    for (int i = 0; i < contracts; i++) {
      String team = "t" + i;
      byTeam.put(team, contract(team));
      requests[i] = new AdmissionRequest(team, QUERY_CLASS, 1, 0, false, i + 1);
    }
    control = new AdmissionControl(new double[] {LATENCY_OBJECTIVE_MS}, MAX_RETRY_AFTER_MS);
    control.apply(new ContractBook(1, byTeam, null), 0);
    if (scarce) {
      limitCapacity();
    }
  }

  private Contract contract(String team) {
    Map<Integer, Router.ClassTerms> classes =
        Map.of(QUERY_CLASS, new Router.ClassTerms(LATENCY_OBJECTIVE_MS, 1500, 1, 1));
    return new Contract(team, 0.9 / contracts, 1, 500, true, true, 0.2, 0.5, 1000, classes);
  }

  /** Queries that are never answered limit the rate; it then follows what is delivered. */
  private void limitCapacity() {
    for (int i = 0; i < UNANSWERED_QUERIES; i++) {
      control.admit(requests[i % contracts], 0);
    }
    now = 1000;
    control.advance(now);
    if (Double.isInfinite(control.capacity())) {
      throw new IllegalStateException("nothing is scarce");
    }
  }

  /** One query from admission to settlement. */
  @Benchmark
  public Object admittedAndSettled() {
    now += 1;
    next = next + 1 == contracts ? 0 : next + 1;
    AdmissionDecision decision = control.admit(requests[next], now);
    if (decision instanceof UsageCharge charge) {
      control.onAttemptSent(charge);
      control.onAttemptEnded(charge, Router.Outcome.OK, ATTEMPT_MS, now);
      control.onRequestEnded(charge, true, now);
    }
    return decision;
  }
}
