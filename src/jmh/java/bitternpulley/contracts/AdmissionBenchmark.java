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
 * A query's whole life in the accounts: let in, one attempt out and answered, settled; a team after
 * the other.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class AdmissionBenchmark {
  @Param({"10", "10000"})
  public int contracts;

  /** Whether work was seen to be scarce, so that every query goes through the accounts' buckets. */
  @Param({"false", "true"})
  public boolean scarce;

  private AdmissionControl control;
  private Claim[] claims;
  private double now;
  private int next;

  @Setup
  public void contracts() {
    Map<String, Contract> all = new LinkedHashMap<>();
    Map<Integer, Router.ClassTerms> classes = Map.of(0, new Router.ClassTerms(500, 1500, 1, 1));
    claims = new Claim[contracts];
    for (int i = 0; i < contracts; i++) {
      all.put(
          "t" + i,
          new Contract("t" + i, 0.9 / contracts, 1, 500, true, true, 0.2, 0.5, 1000, classes));
      claims[i] = new Claim("t" + i, 0, 1, 0, false, i + 1);
    }
    control = new AdmissionControl(new double[] {500}, 2000);
    control.apply(new ContractBook(1, all, null), 0);
    if (scarce) {
      // A crowd that nobody serves: from then on the rate is limited, and grows with what is
      // delivered.
      for (int i = 0; i < 100; i++) {
        control.admit(claims[i % contracts], 0);
      }
      now = 1000;
      control.advance(now);
      if (Double.isInfinite(control.capacity())) {
        throw new IllegalStateException("nothing is scarce");
      }
    }
  }

  @Benchmark
  public Object admittedAndSettled() {
    now += 1;
    next = next + 1 == contracts ? 0 : next + 1;
    Verdict verdict = control.admit(claims[next], now);
    if (verdict instanceof Charge charge) {
      control.sent(charge);
      control.attemptEnded(charge, Router.Outcome.OK, 20, now);
      control.over(charge, true, now);
    }
    return verdict;
  }
}
