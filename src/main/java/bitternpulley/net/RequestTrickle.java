package bitternpulley.net;

/**
 * Recognizes a request that is sent in very many small pieces. Each piece costs a turn of the event
 * loop, so that hundreds of such clients would leave few turns for the others.
 */
final class RequestTrickle {
  /** Pieces in which a request may come before their size matters. */
  private static final int MIN_PIECES = 16;

  /** Mean size of the pieces below which a request trickles. */
  private static final int MIN_MEAN_BYTES = 1024;

  private int pieces;
  private long bytes;

  /** Records a piece of the current request. */
  void record(int pieceBytes) {
    pieces++;
    bytes += pieceBytes;
  }

  /** Begins the next request. */
  void reset() {
    pieces = 0;
    bytes = 0;
  }

  /** Returns whether the current request is sent in many small pieces. */
  boolean isTrickling() {
    return pieces > MIN_PIECES && bytes < (long) MIN_MEAN_BYTES * pieces;
  }
}
