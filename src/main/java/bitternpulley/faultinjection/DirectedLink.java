package bitternpulley.faultinjection;

import java.util.SplittableRandom;

/**
 * One direction of a link between two parties, with the faults that are injected into it. Each
 * direction has a random generator of its own, derived from the scenario's seed, so that its faults
 * depend on no other link. Times are in ms and shares from 0 to 1; the random numbers for a
 * datagram are always drawn in the same order.
 */
public final class DirectedLink {
  private final SplittableRandom random;
  private volatile double lossShare;
  private volatile double delayMs;
  private volatile double jitterMs;
  private volatile double duplicationShare;
  private volatile double corruptionShare;
  private volatile double bytesPerSecond = Double.POSITIVE_INFINITY;
  private volatile boolean cut;
  private volatile boolean resetting;
  private double idleAtMs = Double.NEGATIVE_INFINITY;
  private long passedCount;
  private long droppedCount;
  private long sentBytes;

  /**
   * How one datagram is delivered.
   *
   * @param copyDelaysMs the delay of each copy; empty when the datagram is lost
   * @param corrupted whether a byte is to be changed
   */
  @SuppressWarnings("ArrayRecordComponent") // Deliveries are never compared.
  record Delivery(double[] copyDelaysMs, boolean corrupted) {}

  /** Creates a link without faults. */
  DirectedLink(long seed) {
    random = new SplittableRandom(seed);
  }

  /** Sets the share of datagrams that are lost; streams lose nothing. */
  public DirectedLink setLoss(double share) {
    lossShare = share;
    return this;
  }

  /**
   * Sets the delay and the upper limit of a random additional delay, by which later datagrams may
   * overtake earlier ones.
   */
  public DirectedLink setDelay(double newDelayMs, double newJitterMs) {
    delayMs = newDelayMs;
    jitterMs = newJitterMs;
    return this;
  }

  /** Sets the share of datagrams that are delivered twice. */
  public DirectedLink setDuplication(double share) {
    duplicationShare = share;
    return this;
  }

  /** Sets the share of datagrams, or of chunks of a stream, in which a byte is changed. */
  public DirectedLink setCorruption(double share) {
    corruptionShare = share;
    return this;
  }

  /** Sets the bandwidth; bytes that exceed it are delayed until the earlier ones were sent. */
  public DirectedLink setBandwidth(double newBytesPerSecond) {
    bytesPerSecond = newBytesPerSecond;
    return this;
  }

  /** Sets whether everything sent is silently dropped. */
  public DirectedLink setCut(boolean on) {
    cut = on;
    return this;
  }

  /** Sets whether existing streams are reset and new ones refused. */
  public DirectedLink setResetting(boolean on) {
    resetting = on;
    return this;
  }

  /** Removes all faults. */
  public DirectedLink heal() {
    return setLoss(0)
        .setDelay(0, 0)
        .setDuplication(0)
        .setCorruption(0)
        .setBandwidth(Double.POSITIVE_INFINITY)
        .setCut(false)
        .setResetting(false);
  }

  boolean isCut() {
    return cut;
  }

  boolean isResetting() {
    return resetting;
  }

  /** Decides how a datagram that is sent now is delivered. */
  synchronized Delivery nextDelivery(int length, double nowMs) {
    boolean lost = random.nextDouble() < lossShare;
    boolean duplicated = random.nextDouble() < duplicationShare;
    boolean corrupted = random.nextDouble() < corruptionShare;
    double firstDelayMs = delayMs + jitterMs * random.nextDouble();
    double secondDelayMs = delayMs + jitterMs * random.nextDouble();
    sentBytes += length;
    if (cut || lost) {
      droppedCount++;
      return new Delivery(new double[0], false);
    }
    passedCount++;
    double bandwidthDelayMs = bandwidthDelayMs(length, nowMs);
    return new Delivery(
        duplicated
            ? new double[] {bandwidthDelayMs + firstDelayMs, bandwidthDelayMs + secondDelayMs}
            : new double[] {bandwidthDelayMs + firstDelayMs},
        corrupted);
  }

  /**
   * Returns when a chunk of a stream that is sent now is due at the receiver: not before the
   * previous chunk, because a stream keeps its order.
   */
  synchronized double chunkDueMs(int length, double nowMs, double previousDueMs) {
    sentBytes += length;
    passedCount++;
    return Math.max(
        previousDueMs,
        nowMs + bandwidthDelayMs(length, nowMs) + delayMs + jitterMs * random.nextDouble());
  }

  /** Decides at random whether the next chunk of a stream is corrupted. */
  synchronized boolean corruptsNextChunk() {
    return random.nextDouble() < corruptionShare;
  }

  /** Returns the time in ms until these bytes, and those before them, have been transmitted. */
  private double bandwidthDelayMs(int length, double nowMs) {
    if (bytesPerSecond == Double.POSITIVE_INFINITY) {
      return 0;
    }
    idleAtMs = Math.max(idleAtMs, nowMs) + 1000 * length / bytesPerSecond;
    return idleAtMs - nowMs;
  }

  /** Returns a copy of the bytes in which one random byte is changed. */
  synchronized byte[] corrupt(byte[] bytes) {
    byte[] corrupted = bytes.clone();
    corrupted[random.nextInt(corrupted.length)] ^= (byte) (1 + random.nextInt(255));
    return corrupted;
  }

  /** Returns how many bytes were sent in this direction so far, lost ones included. */
  public synchronized long sentBytes() {
    return sentBytes;
  }

  @Override
  public synchronized String toString() {
    return passedCount + " passed, " + droppedCount + " lost";
  }
}
