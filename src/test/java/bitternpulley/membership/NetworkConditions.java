package bitternpulley.membership;

/**
 * How a simulated network treats messages.
 *
 * @param lossRate fraction of messages dropped
 * @param maxDelayMs upper bound of the random part of a message's delay
 * @param duplicationRate fraction of messages delivered twice
 */
record NetworkConditions(double lossRate, double maxDelayMs, double duplicationRate) {
  /** No loss, no duplicates, delays of a few ms. */
  static final NetworkConditions NORMAL = new NetworkConditions(0, 3, 0);

  NetworkConditions withLossRate(double rate) {
    return new NetworkConditions(rate, maxDelayMs, duplicationRate);
  }

  NetworkConditions withMaxDelayMs(double ms) {
    return new NetworkConditions(lossRate, ms, duplicationRate);
  }

  NetworkConditions withDuplicationRate(double rate) {
    return new NetworkConditions(lossRate, maxDelayMs, rate);
  }
}
