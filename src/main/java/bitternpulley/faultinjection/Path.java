package bitternpulley.faultinjection;

import java.util.SplittableRandom;

/**
 * One direction between two parties, and what befalls what goes that way. Each has chance of its
 * own by the scenario's seed, so that what one path does depends on no other. Times in ms, shares 0
 * to 1; a datagram's faults are drawn in one order.
 */
public final class Path {
  private final SplittableRandom random;
  private volatile double lost;
  private volatile double delay;
  private volatile double jitter;
  private volatile double repeated;
  private volatile double garbled;
  private volatile double rate = Double.POSITIVE_INFINITY;
  private volatile boolean cut;
  private volatile boolean reset;
  private double freeAt = Double.NEGATIVE_INFINITY;
  private long passed;
  private long dropped;
  private long bytes;

  /** What becomes of one datagram: copies, each after so many ms; none where it is lost. */
  record Fate(double[] after, boolean garbled) {}

  Path(long seed) {
    random = new SplittableRandom(seed);
  }

  /** Loses this share of all datagrams; a stream loses nothing. */
  public Path lose(double share) {
    lost = share;
    return this;
  }

  /**
   * Holds each back for so long, and by up to {@code jitter} more by chance, by which later
   * datagrams overtake.
   */
  public Path delay(double ms, double jitter) {
    delay = ms;
    this.jitter = jitter;
    return this;
  }

  /** Delivers this share of datagrams twice. */
  public Path repeat(double share) {
    repeated = share;
    return this;
  }

  /** Changes a byte of this share of datagrams, or of the pieces of a stream. */
  public Path garble(double share) {
    garbled = share;
    return this;
  }

  /** Lets no more than so many bytes pass in a second, one behind the other. */
  public Path throttle(double bytesPerSecond) {
    rate = bytesPerSecond;
    return this;
  }

  /** Lets nothing pass, without a word, or everything again. */
  public Path cut(boolean on) {
    cut = on;
    return this;
  }

  /** Resets the streams that there are and all that are tried, or lets them be. */
  public Path reset(boolean on) {
    reset = on;
    return this;
  }

  /** Takes all faults away. */
  public Path heal() {
    return lose(0)
        .delay(0, 0)
        .repeat(0)
        .garble(0)
        .throttle(Double.POSITIVE_INFINITY)
        .cut(false)
        .reset(false);
  }

  boolean isCut() {
    return cut;
  }

  boolean resets() {
    return reset;
  }

  synchronized Fate next(int length, double now) {
    boolean loses = random.nextDouble() < lost;
    boolean twice = random.nextDouble() < repeated;
    boolean spoils = random.nextDouble() < garbled;
    double first = delay + jitter * random.nextDouble();
    double second = delay + jitter * random.nextDouble();
    bytes += length;
    if (cut || loses) {
      dropped++;
      return new Fate(new double[0], false);
    }
    passed++;
    double queue = queue(length, now);
    return new Fate(
        twice ? new double[] {queue + first, queue + second} : new double[] {queue + first},
        spoils);
  }

  /**
   * When a piece of a stream that comes now has passed: in order, so never before the piece ahead
   * of it.
   */
  synchronized double passes(int length, double now, double ahead) {
    bytes += length;
    passed++;
    return Math.max(ahead, now + queue(length, now) + delay + jitter * random.nextDouble());
  }

  synchronized boolean spoils() {
    return random.nextDouble() < garbled;
  }

  /** Ms that so many bytes wait for those ahead of them and take themselves. */
  private double queue(int length, double now) {
    if (rate == Double.POSITIVE_INFINITY) {
      return 0;
    }
    freeAt = Math.max(freeAt, now) + 1000 * length / rate;
    return freeAt - now;
  }

  synchronized byte[] spoil(byte[] bytes) {
    byte[] other = bytes.clone();
    other[random.nextInt(other.length)] ^= (byte) (1 + random.nextInt(255));
    return other;
  }

  /** Bytes that were sent this way so far, lost ones included. */
  public synchronized long bytes() {
    return bytes;
  }

  @Override
  public synchronized String toString() {
    return passed + " passed, " + dropped + " lost";
  }
}
