package bitternpulley.routing;

import java.util.List;

/**
 * What an instance is told at its start. Nothing here is chosen by the project; absent optional
 * figures are off.
 */
public record Settings(
    int self,
    int instances,
    int zone,
    double tick,
    boolean endpointsOnRequest,
    List<QueryClass> classes,
    List<Tenant> tenants,
    double overQuotaWeight,
    boolean weightByWork,
    Layout layout,
    Limits limits,
    Rules rules,
    Costs costs) {

  /** The same for a program that deals with what has come in no more often than so. */
  public Settings withMinimumTick(double minimum) {
    return new Settings(
        self,
        instances,
        zone,
        Math.max(tick, minimum),
        endpointsOnRequest,
        classes,
        tenants,
        overQuotaWeight,
        weightByWork,
        layout,
        limits,
        rules,
        costs);
  }

  /**
   * The same for a caller that carries one attempt of a part at a time, whatever the site permits.
   */
  public Settings withoutHedging() {
    return new Settings(
        self,
        instances,
        zone,
        tick,
        endpointsOnRequest,
        classes,
        tenants,
        overQuotaWeight,
        weightByWork,
        layout,
        limits.withoutHedging(),
        rules,
        costs);
  }

  /** What a class lets happen to a part that may have run before. */
  public enum Idempotency {
    IDEMPOTENT,
    KEYED,
    NON_IDEMPOTENT
  }

  /** A class of queries; fractions are of a step's weight, times are in milliseconds. */
  public record QueryClass(
      String name,
      double priorityWeight,
      double latencyObjective,
      double objectiveStretch,
      double deadline,
      double latePriorityWeight,
      Idempotency idempotency,
      double idempotencyWindow,
      boolean stream,
      double minimumShare,
      double completeShare,
      double partialPriorityWeight,
      int secondStepParts) {

    /** Whether an answer from less than the whole may be given. */
    public boolean allowsPartialAnswer() {
      return minimumShare < completeShare;
    }

    /** The same class as a contract has it. */
    public QueryClass underContract(Router.ClassTerms contractTerms) {
      return new QueryClass(
          name,
          contractTerms.priorityWeight(),
          contractTerms.latencyObjective(),
          objectiveStretch,
          contractTerms.deadline(),
          latePriorityWeight,
          idempotency,
          idempotencyWindow,
          stream,
          Math.min(completeShare, contractTerms.minimumShare()),
          completeShare,
          partialPriorityWeight,
          secondStepParts);
    }

    /** The same class for a client that takes no answer in part. */
    public QueryClass completeOnly() {
      return new QueryClass(
          name,
          priorityWeight,
          latencyObjective,
          objectiveStretch,
          deadline,
          latePriorityWeight,
          idempotency,
          idempotencyWindow,
          stream,
          completeShare,
          completeShare,
          partialPriorityWeight,
          secondStepParts);
    }
  }

  /** A tenant and the fraction of the service allotted to it. */
  public record Tenant(String name, double quota) {}

  /**
   * Where shards lie: shard s is held by cells s to s + width - 1, counted around the ring. Up to
   * {@code maxPartsPerCall} parts share a call, which costs its server {@code callWork} ms beside
   * the work of the parts.
   */
  public record Layout(int shards, int cells, int replicas, int maxPartsPerCall, double callWork) {
    /** A layout in which calls cost nothing by themselves. */
    public Layout(int shards, int cells, int width, int bundle) {
      this(shards, cells, width, bundle, 0);
    }
  }

  /** What the site permits. */
  public record Limits(
      int maxAttempts,
      int maxPending,
      boolean cancellationAllowed,
      boolean hedgingAllowed,
      boolean retryAfterAllowed,
      double maxRetryAfter,
      double connectTimeout) {

    Limits withoutHedging() {
      return new Limits(
          maxAttempts,
          maxPending,
          cancellationAllowed,
          false,
          retryAfterAllowed,
          maxRetryAfter,
          connectTimeout);
    }
  }

  /**
   * The figures of the rules; {@code retriesBudgeted} tells whether further attempts are rationed
   * at all.
   */
  public record Rules(
      double warmupStartFraction,
      double warmupTime,
      double overloadMultiple,
      double overloadWindow,
      boolean retriesBudgeted,
      double retryBudgetFloor,
      double retryBudgetShare,
      double retryBudgetWindow) {}

  /** What the site charges, in shares of the result. */
  public record Costs(double crossZone, double handshake) {}
}
