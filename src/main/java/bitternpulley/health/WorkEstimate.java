package bitternpulley.health;

/**
 * Estimate of a part's work where none is given. Load stretches every observed latency, so the
 * estimate is the least of several: the slow-start budget, counted in parts, must not shrink while
 * the fleet is loaded.
 */
public final class WorkEstimate {
  /** Multiple of a quick answer's latency that a part's work counts as. */
  private static final double QUICK_MULTIPLE = 2;

  /** Weight of an answer quicker than the quick latency. */
  private static final double QUICK_FALL = 0.1;

  /** Weight of an answer slower than the quick latency. */
  private static final double QUICK_RISE = 0.01;

  /** Answers to sole requests over which their mean is taken. */
  private static final int SOLE_REQUEST_SPAN = 20;

  /** Multiple of the mean that one answer to a sole request counts as, at most. */
  private static final double MAX_SOLE_REQUEST_MULTIPLE = 3;

  /** Relative rise of the least mean per answer: slower than any overload lasts. */
  private static final double LEAST_MEAN_RISE = 0.0002;

  /** About the latency that one answer in ten stays below, in ms. */
  private double quickLatency = Double.POSITIVE_INFINITY;

  private double soleRequestMean;
  private double leastSoleRequestMean = Double.POSITIVE_INFINITY;
  private int soleRequests;

  /** Records the latency of an answer in ms. */
  public void recordAnswer(double latency) {
    if (quickLatency == Double.POSITIVE_INFINITY) {
      quickLatency = latency;
    } else if (latency < quickLatency) {
      quickLatency = quickLatency + QUICK_FALL * (latency - quickLatency);
    } else {
      quickLatency = quickLatency + QUICK_RISE * Math.min(latency - quickLatency, quickLatency);
    }
  }

  /**
   * Records the latency in ms of an answer to a sole request: none of this instance's was before
   * it, at a warm server that is no outlier.
   */
  public void recordSoleRequestAnswer(double latency) {
    recordAnswer(latency);
    double counted =
        soleRequests == 0
            ? latency
            : Math.min(latency, MAX_SOLE_REQUEST_MULTIPLE * soleRequestMean);
    soleRequests = Math.min(soleRequests + 1, SOLE_REQUEST_SPAN);
    soleRequestMean += (counted - soleRequestMean) / soleRequests;
    // Overload stretches sole requests as well, since other instances' parts are queued before
    // them. The least loaded period is nearest to the true work.
    if (soleRequests >= SOLE_REQUEST_SPAN) {
      leastSoleRequestMean =
          Math.min(soleRequestMean, leastSoleRequestMean * (1 + LEAST_MEAN_RISE));
    }
  }

  /** The estimated work of a part in ms, at most the baseline latency. */
  public double estimate(double baselineLatency) {
    return Math.min(baselineLatency, Math.min(quickLatency * QUICK_MULTIPLE, leastSoleRequestMean));
  }
}
