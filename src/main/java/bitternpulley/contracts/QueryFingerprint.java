package bitternpulley.contracts;

/** Tells a query that comes again: the same team asks the same. */
public final class QueryFingerprint {
  private static final long BASIS = 0xcbf29ce484222325L;
  private static final long PRIME = 0x100000001b3L;

  private QueryFingerprint() {}

  /**
   * 64 bits by FNV-1a over what is asked and a number beside it; never 0. Two that collide share
   * one promise, no more.
   */
  public static long of(byte[] asked, int beside) {
    long hash = (BASIS ^ beside) * PRIME;
    for (byte b : asked) {
      hash = (hash ^ (b & 0xff)) * PRIME;
    }
    return hash == 0 ? 1 : hash;
  }
}
