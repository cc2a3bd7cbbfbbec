package bitternpulley.routing;

/**
 * Builds a query class for tests. The default is an idempotent class that requires the complete
 * answer.
 */
public final class QueryClassBuilder {
  private String name = "any";
  private double priorityWeight = 1;
  private double latencyObjective = 1000;
  private double objectiveStretch = 0;
  private double deadline = 3000;
  private double latePriorityWeight = 0.3;
  private Settings.Idempotency idempotency = Settings.Idempotency.IDEMPOTENT;
  private double idempotencyWindow = 400;
  private boolean stream = false;
  private double minimumShare = 1;
  private double completeShare = 1;
  private double partialPriorityWeight = 0.8;
  private int secondStepParts = 0;

  public static QueryClassBuilder from(Settings.QueryClass other) {
    QueryClassBuilder builder = new QueryClassBuilder();
    builder.name = other.name();
    builder.priorityWeight = other.priorityWeight();
    builder.latencyObjective = other.latencyObjective();
    builder.objectiveStretch = other.objectiveStretch();
    builder.deadline = other.deadline();
    builder.latePriorityWeight = other.latePriorityWeight();
    builder.idempotency = other.idempotency();
    builder.idempotencyWindow = other.idempotencyWindow();
    builder.stream = other.stream();
    builder.minimumShare = other.minimumShare();
    builder.completeShare = other.completeShare();
    builder.partialPriorityWeight = other.partialPriorityWeight();
    builder.secondStepParts = other.secondStepParts();
    return builder;
  }

  public QueryClassBuilder name(String value) {
    name = value;
    return this;
  }

  public QueryClassBuilder priorityWeight(double value) {
    priorityWeight = value;
    return this;
  }

  public QueryClassBuilder latencyObjective(double value) {
    latencyObjective = value;
    return this;
  }

  public QueryClassBuilder objectiveStretch(double value) {
    objectiveStretch = value;
    return this;
  }

  public QueryClassBuilder deadline(double value) {
    deadline = value;
    return this;
  }

  public QueryClassBuilder latePriorityWeight(double value) {
    latePriorityWeight = value;
    return this;
  }

  public QueryClassBuilder idempotency(Settings.Idempotency value) {
    idempotency = value;
    return this;
  }

  public QueryClassBuilder idempotencyWindow(double value) {
    idempotencyWindow = value;
    return this;
  }

  public QueryClassBuilder stream(boolean value) {
    stream = value;
    return this;
  }

  public QueryClassBuilder minimumShare(double value) {
    minimumShare = value;
    return this;
  }

  public QueryClassBuilder completeShare(double value) {
    completeShare = value;
    return this;
  }

  public QueryClassBuilder partialPriorityWeight(double value) {
    partialPriorityWeight = value;
    return this;
  }

  public QueryClassBuilder secondStepParts(int value) {
    secondStepParts = value;
    return this;
  }

  public Settings.QueryClass build() {
    return new Settings.QueryClass(
        name,
        priorityWeight,
        latencyObjective,
        objectiveStretch,
        deadline,
        latePriorityWeight,
        idempotency,
        idempotencyWindow,
        stream,
        minimumShare,
        completeShare,
        partialPriorityWeight,
        secondStepParts);
  }
}
