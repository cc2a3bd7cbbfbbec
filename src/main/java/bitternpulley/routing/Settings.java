package bitternpulley.routing;

import java.util.List;

/**
 * The settings of an instance, which its site states at its start. An optional figure that is
 * absent switches off what it governs.
 *
 * @param self number of this instance, from 0
 * @param instances how many instances the site has
 * @param zone zone of this instance
 * @param tick resolution of the caller's clock and alarms in ms
 * @param endpointsOnRequest whether the endpoint list is sent on request only
 * @param overQuotaWeight factor on the priority weight of tenants above their quota
 * @param weightByWork whether the payoff of a query grows with its work, not by query
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

  /**
   * These settings for a caller that handles events no more often than every {@code minimum} ms.
   */
  public Settings withMinimumTick(double minimum) {
    return with(Math.max(tick, minimum), limits);
  }

  /** These settings for a caller that carries one attempt of a part at a time. */
  public Settings withoutHedging() {
    return with(tick, limits.withoutHedging());
  }

  private Settings with(double newTick, Limits newLimits) {
    return new Settings(
        self,
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
    /** At any time. */
    IDEMPOTENT,
    /** Within a window after its first attempt, by an idempotency key. */
    KEYED,
    /** Never. */
    NON_IDEMPOTENT
  }

  /**
   * A class of queries. Shares are of a step's weight, times are in ms.
   *
   * @param priorityWeight payoff of a complete answer within the objective
   * @param objectiveStretch ms added to the objective per ms of estimated work
   * @param deadline when the client stops waiting
   * @param latePriorityWeight payoff of a complete answer after the objective, as a share
   * @param idempotencyWindow ms within which an idempotency key is valid
   * @param stream as the settings state it; nothing depends on it
   * @param minimumShare least weight of a partial answer
   * @param completeShare least weight of a complete answer to the first step
   * @param partialPriorityWeight payoff of a partial answer, as a share at full weight
   * @param secondStepParts parts of the second step, or 0 where there is none
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

    /** Whether a partial answer may be given. */
    public boolean allowsPartialAnswer() {
      return minimumShare < completeShare;
    }

    /** This class as a contract modifies it. */
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
   * @param maxPartsPerCall parts that share one call to a server, at most
   * @param callWork work of a call in ms, in addition to that of its parts
   */
  public record Layout(int shards, int cells, int replicas, int maxPartsPerCall, double callWork) {
    /** A layout in which calls cost no work of their own. */
    public Layout(int shards, int cells, int replicas, int maxPartsPerCall) {
      this(shards, cells, replicas, maxPartsPerCall, 0);
    }
  }

  /**
   * What the site permits.
   *
   * @param maxAttempts attempts of one part
   * @param maxPending queries and missing parts that may be pending
   * @param maxRetryAfter longest delay in ms that a client may be advised
   * @param connectTimeout ms after which a connection attempt is unreachable
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
   * The figures of the site's rules; times are in ms.
   *
   * @param warmupStartFraction share of its capacity that a server has when it starts
   * @param warmupTime time until it has its full capacity
   * @param overloadMultiple multiple of a server's capacity that it may be sent while warming up
   * @param overloadWindow time over which that is counted
   * @param retriesBudgeted whether retries are limited by a budget
   * @param retryBudgetFloor retries permitted in a window whatever the requests
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
   * What the site charges, as shares of the payoff.
   *
   * @param crossZone for a part sent to another zone
   * @param handshake for a new connection
   */
  public record Costs(double crossZone, double handshake) {}
}
