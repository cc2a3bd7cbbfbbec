package bitternpulley.health;

/**
 * Estimates the work of a part whose query does not state it. Load increases every observed
 * latency, so the estimate is the lowest of several: the slow-start budget, counted in parts, must
 * not shrink while the fleet is loaded.
 */
public final class WorkEstimate {
  /** Estimated work of a part, as a multiple of the quick latency. */
  private static final double QUICK_LATENCY_MULTIPLE = 2;

  /** Weight of an answer faster than the quick latency. */
  private static final double QUICK_LATENCY_FALL = 0.1;

  /** Weight of an answer slower than the quick latency. */
  private static final double QUICK_LATENCY_RISE = 0.01;

  /**
   * Number of answers to sole requests over which their mean latency is taken; see {@link
   * #recordSoleRequestAnswer}.
   */
  private static final int SOLE_REQUEST_SPAN = 20;

  /** One answer to a sole request counts as at most this multiple of the mean. */
  private static final double MAX_SOLE_REQUEST_MULTIPLE = 3;

  /**
   * Relative increase of the least mean per answer to a sole request, which is too slow to matter
   * during any overload.
   */
  private static final double LEAST_MEAN_RISE = 0.0002;

  /** Approximately the latency in ms that one answer in ten stays below. */
  private double quickLatency = Double.POSITIVE_INFINITY;

  private double soleRequestMean;
  private double leastSoleRequestMean = Double.POSITIVE_INFINITY;
  private int soleRequests;

  /** Records the latency of an answer in ms. */
  public void recordAnswer(double latency) {
    if (quickLatency == Double.POSITIVE_INFINITY) {
      quickLatency = latency;
    } else if (latency < quickLatency) {
      quickLatency = quickLatency + QUICK_LATENCY_FALL * (latency - quickLatency);
    } else {
      quickLatency =
          quickLatency + QUICK_LATENCY_RISE * Math.min(latency - quickLatency, quickLatency);
    }
  }

  /**
   * Records the latency in ms of an answer to a sole request: when it was sent, its server was
   * warm, was not a slow outlier and had no other request of this instance in flight.
   */
  public void recordSoleRequestAnswer(double latency) {
    recordAnswer(latency);
    double limitedLatency =
        soleRequests == 0
            ? latency
            : Math.min(latency, MAX_SOLE_REQUEST_MULTIPLE * soleRequestMean);
    soleRequests = Math.min(soleRequests + 1, SOLE_REQUEST_SPAN);
    soleRequestMean += (limitedLatency - soleRequestMean) / soleRequests;
    // Overload also increases the latency of sole requests, since other instances' parts are queued
    // ahead of them. The mean of the least loaded period is closest to the true work.
    if (soleRequests >= SOLE_REQUEST_SPAN) {
      leastSoleRequestMean =
          Math.min(soleRequestMean, leastSoleRequestMean * (1 + LEAST_MEAN_RISE));
    }
  }

  /** The estimated work of a part in ms, at most the baseline latency. */
  public double estimate(double baselineLatency) {
    return Math.min(
        baselineLatency, Math.min(quickLatency * QUICK_LATENCY_MULTIPLE, leastSoleRequestMean));
  }
}
