package bitternpulley.routing;

import java.util.List;

/**
 * The settings of an instance, which the configuration of its site supplies at startup. Values that
 * the configuration omits have defaults, most of which disable the feature that they control.
 *
 * @param selfIndex number of this instance, from 0
 * @param instances number of instances of the site
 * @param zone zone of this instance
 * @param tick resolution of the caller's clock and alarms in ms
 * @param endpointsOnRequest whether the endpoint list is sent on request only
 * @param overQuotaWeight factor on the priority weight of tenants above their quota
 * @param weightByWork whether the payoff of a query grows with its work instead of counting once
 *     per query
 */
public record Settings(
    int selfIndex,
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

  /**
   * These settings for a caller that handles events no more often than every {@code minimum} ms.
   */
  public Settings withMinimumTick(double minimum) {
    return with(Math.max(tick, minimum), limits);
  }

  /** These settings for a caller that supports only one attempt of a part at a time. */
  public Settings withoutHedging() {
    return with(tick, limits.withoutHedging());
  }

  private Settings with(double newTick, Limits newLimits) {
    return new Settings(
        selfIndex,
        instances,
        zone,
        newTick,
        endpointsOnRequest,
        classes,
        tenants,
        overQuotaWeight,
        weightByWork,
        layout,
        newLimits,
        rules,
        costs);
  }

  /** Whether a part that may have run may run again. */
  public enum Idempotency {
    /** The part may run again at any time. */
    IDEMPOTENT,
    /** The part may run again within a window after its first attempt, by an idempotency key. */
    KEYED,
    /** The part must not run again. */
    NON_IDEMPOTENT
  }

  /**
   * A class of queries. Shares are of a step's weight, times are in ms.
   *
   * @param priorityWeight payoff of a complete answer within the objective
   * @param objectiveStretch ms added to the objective per ms of estimated work
   * @param deadline ms after which the client stops waiting
   * @param latePriorityWeight payoff of a complete answer after the objective, as a share of {@code
   *     priorityWeight}
   * @param idempotencyWindow ms within which an idempotency key is valid
   * @param stream value of a setting that has no effect
   * @param minimumShare smallest weight of a partial answer
   * @param completeShare smallest weight of a complete answer to the first step
   * @param partialPriorityWeight payoff of a partial answer at full weight, as a share of {@code
   *     priorityWeight}
   * @param secondStepParts number of parts of the second step, or 0 if there is none
   */
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

    /** Whether a partial answer is allowed. */
    public boolean allowsPartialAnswer() {
      return minimumShare < completeShare;
    }

    /** This class as modified by a contract. */
    public QueryClass underContract(Router.ClassTerms contract) {
      double contractMinimum = Math.min(completeShare, contract.minimumShare());
      return with(
          contract.priorityWeight(),
          contract.latencyObjective(),
          contract.deadline(),
          contractMinimum);
    }

    /** This class for a client that accepts no partial answer. */
    public QueryClass completeOnly() {
      return with(priorityWeight, latencyObjective, deadline, completeShare);
    }

    private QueryClass with(
        double newPriorityWeight,
        double newLatencyObjective,
        double newDeadline,
        double newMinimumShare) {
      return new QueryClass(
          name,
          newPriorityWeight,
          newLatencyObjective,
          objectiveStretch,
          newDeadline,
          latePriorityWeight,
          idempotency,
          idempotencyWindow,
          stream,
          newMinimumShare,
          completeShare,
          partialPriorityWeight,
          secondStepParts);
    }
  }

  /** A tenant, and its quota as a share of the service. */
  public record Tenant(String name, double quota) {}

  /**
   * Which servers hold a shard: shard s is held by the cells s to s + replicas - 1, modulo the
   * number of cells.
   *
   * @param maxPartsPerCall maximum number of parts in one call to a server
   * @param callWork work of a call in ms, in addition to that of its parts
   */
  public record Layout(int shards, int cells, int replicas, int maxPartsPerCall, double callWork) {
    /** A layout in which a call requires no work in addition to that of its parts. */
    public Layout(int shards, int cells, int replicas, int maxPartsPerCall) {
      this(shards, cells, replicas, maxPartsPerCall, 0);
    }
  }

  /**
   * The limits that the site sets.
   *
   * @param maxAttempts maximum number of attempts of one part
   * @param maxPending maximum number of pending queries plus their missing parts
   * @param maxRetryAfter longest delay in ms that a client may be advised to wait
   * @param connectTimeout ms after which a connection attempt ends as unreachable
   */
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
   * The rules of the site; times are in ms.
   *
   * @param warmupStartFraction share of its capacity that a server has when it starts
   * @param warmupTime time until it has its full capacity
   * @param overloadMultiple multiple of its capacity that a server may be sent while it warms up
   * @param overloadWindow time over which the work sent to a server is counted
   * @param retriesBudgeted whether retries are limited by a budget
   * @param retryBudgetFloor retries permitted in a window regardless of the number of requests
   * @param retryBudgetShare retries permitted per request in a window
   * @param retryBudgetWindow time over which requests and retries are counted
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

  /**
   * The costs that the site charges, as shares of the payoff.
   *
   * @param crossZone cost of a part sent to another zone
   * @param handshake cost of a new connection
   */
  public record Costs(double crossZone, double handshake) {}
}
