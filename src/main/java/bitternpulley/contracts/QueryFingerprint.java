package bitternpulley.contracts;

/** Computes the fingerprint by which a rejected query is recognized when its client repeats it. */
public final class QueryFingerprint {
  private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;
  private static final int BYTE_MASK = 0xff;

  private QueryFingerprint() {}

  /**
   * The 64-bit FNV-1a hash of a discriminator and the bytes of a query; never 0, which stands for
   * no fingerprint. The hash need not be cryptographic, as queries of one team with the same
   * fingerprint share one reservation and nothing else. The standard library has only 32-bit
   * checksums and cryptographic digests, which are far slower.
   *
   * @param query the bytes that the client sent
   * @param discriminator distinguishes queries with the same bytes, such as those of two classes
   */
  public static long of(byte[] query, int discriminator) {
    long hash = (FNV_OFFSET_BASIS ^ discriminator) * FNV_PRIME;
    for (byte next : query) {
      hash = (hash ^ (next & BYTE_MASK)) * FNV_PRIME;
    }
    return hash == 0 ? 1 : hash;
  }
}
