package bitternpulley.routing;

/** Builds rules for tests. The defaults are a slow start of ten seconds and no retry budget. */
public final class RulesBuilder {
  private double warmupStartFraction = 0.2;
  private double warmupTime = 10_000;
  private double overloadMultiple = 2;
  private double overloadWindow = 1000;
  private boolean retriesBudgeted = false;
  private double retryBudgetFloor = 0;
  private double retryBudgetShare = 0;
  private double retryBudgetWindow = 0;

  public static RulesBuilder from(Settings.Rules other) {
    RulesBuilder builder = new RulesBuilder();
    builder.warmupStartFraction = other.warmupStartFraction();
    builder.warmupTime = other.warmupTime();
    builder.overloadMultiple = other.overloadMultiple();
    builder.overloadWindow = other.overloadWindow();
    builder.retriesBudgeted = other.retriesBudgeted();
    builder.retryBudgetFloor = other.retryBudgetFloor();
    builder.retryBudgetShare = other.retryBudgetShare();
    builder.retryBudgetWindow = other.retryBudgetWindow();
    return builder;
  }

  public RulesBuilder warmupStartFraction(double value) {
    warmupStartFraction = value;
    return this;
  }

  public RulesBuilder warmupTime(double value) {
    warmupTime = value;
    return this;
  }

  public RulesBuilder overloadMultiple(double value) {
    overloadMultiple = value;
    return this;
  }

  public RulesBuilder overloadWindow(double value) {
    overloadWindow = value;
    return this;
  }

  public RulesBuilder retriesBudgeted(boolean value) {
    retriesBudgeted = value;
    return this;
  }

  public RulesBuilder retryBudgetFloor(double value) {
    retryBudgetFloor = value;
    return this;
  }

  public RulesBuilder retryBudgetShare(double value) {
    retryBudgetShare = value;
    return this;
  }

  public RulesBuilder retryBudgetWindow(double value) {
    retryBudgetWindow = value;
    return this;
  }

  public Settings.Rules build() {
    return new Settings.Rules(
        warmupStartFraction,
        warmupTime,
        overloadMultiple,
        overloadWindow,
        retriesBudgeted,
        retryBudgetFloor,
        retryBudgetShare,
        retryBudgetWindow);
  }
}
