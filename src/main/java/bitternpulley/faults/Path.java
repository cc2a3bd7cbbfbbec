package bitternpulley.faults;

import java.util.SplittableRandom;

/**
 * One direction between two processes, and what befalls what goes that way. Each has chance of its own by the scenario's seed,
 * so that what one path does depends on no other. Times in ms, shares 0 to 1; a datagram's faults are drawn in one order.
 */
public final class Path {
  private final SplittableRandom random;
  private volatile double lost;
  private volatile double delay;
  private volatile double jitter;
  private volatile double repeated;
  private volatile double garbled;
  private volatile boolean cut;
  private long passed;
  private long dropped;
  private long bytes;

  /** What becomes of one datagram: copies, each after so many ms; none where it is lost. */
  record Fate(double[] after, boolean garbled) {}

  Path(long seed) {
    random = new SplittableRandom(seed);
  }

  /** Loses this share of all. */
  public Path lose(double share) {
    lost = share;
    return this;
  }

  /** Holds each back for so long, and by up to {@code jitter} more by chance, by which later ones overtake. */
  public Path delay(double ms, double jitter) {
    delay = ms;
    this.jitter = jitter;
    return this;
  }

  /** Delivers this share twice. */
  public Path repeat(double share) {
    repeated = share;
    return this;
  }

  /** Changes a byte of this share. */
  public Path garble(double share) {
    garbled = share;
    return this;
  }

  /** Lets nothing pass, without a word, or everything again. */
  public Path cut(boolean on) {
    cut = on;
    return this;
  }

  /** Takes all faults away. */
  public Path heal() {
    return lose(0).delay(0, 0).repeat(0).garble(0).cut(false);
  }

  synchronized Fate next(int length) {
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
    return new Fate(twice ? new double[] {first, second} : new double[] {first}, spoils);
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
