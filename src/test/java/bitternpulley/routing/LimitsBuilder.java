package bitternpulley.routing;

/** Builds limits for tests. The defaults permit four attempts, cancellation and Retry-After. */
public final class LimitsBuilder {
  private int maxAttempts = 4;
  private int maxPending = 1000;
  private boolean cancellationAllowed = true;
  private boolean hedgingAllowed = false;
  private boolean retryAfterAllowed = true;
  private double maxRetryAfter = 500;
  private double connectTimeout = 250;

  public static LimitsBuilder from(Settings.Limits other) {
    LimitsBuilder builder = new LimitsBuilder();
    builder.maxAttempts = other.maxAttempts();
    builder.maxPending = other.maxPending();
    builder.cancellationAllowed = other.cancellationAllowed();
    builder.hedgingAllowed = other.hedgingAllowed();
    builder.retryAfterAllowed = other.retryAfterAllowed();
    builder.maxRetryAfter = other.maxRetryAfter();
    builder.connectTimeout = other.connectTimeout();
    return builder;
  }

  public LimitsBuilder maxAttempts(int value) {
    maxAttempts = value;
    return this;
  }

  public LimitsBuilder maxPending(int value) {
    maxPending = value;
    return this;
  }

  public LimitsBuilder cancellationAllowed(boolean value) {
    cancellationAllowed = value;
    return this;
  }

  public LimitsBuilder hedgingAllowed(boolean value) {
    hedgingAllowed = value;
    return this;
  }

  public LimitsBuilder retryAfterAllowed(boolean value) {
    retryAfterAllowed = value;
    return this;
  }

  public LimitsBuilder maxRetryAfter(double value) {
    maxRetryAfter = value;
    return this;
  }

  public LimitsBuilder connectTimeout(double value) {
    connectTimeout = value;
    return this;
  }

  public Settings.Limits build() {
    return new Settings.Limits(
        maxAttempts,
        maxPending,
        cancellationAllowed,
        hedgingAllowed,
        retryAfterAllowed,
        maxRetryAfter,
        connectTimeout);
  }
}
