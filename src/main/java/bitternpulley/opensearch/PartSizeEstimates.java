package bitternpulley.opensearch;

import java.util.HashMap;
import java.util.Map;

/** Estimates how long the answer of a part will be, from the latest answers for its index. */
final class PartSizeEstimates {
  /** Everything in an answer but the hits. */
  private static final int ENVELOPE_BYTES = 512;

  /** Length of a hit until one has been received. */
  private static final double INITIAL_HIT_BYTES = 128;

  /** Weight of the latest answer, if it is shorter than expected; a longer one counts in full. */
  private static final double SMOOTHING = 0.1;

  private final int maxPartBytes;

  /** Bytes per requested hit, by index; the configuration bounds their number. */
  private final Map<String, Double> hitBytes = new HashMap<>();

  /** Creates estimates of at most {@code maxPartBytes}. */
  PartSizeEstimates(int maxPartBytes) {
    this.maxPartBytes = maxPartBytes;
  }

  /** Returns the estimated length in bytes of an answer with up to {@code hits} hits. */
  long expectedBytes(String index, int hits) {
    double perHit = hitBytes.getOrDefault(index, INITIAL_HIT_BYTES);
    return (long) Math.min(maxPartBytes, ENVELOPE_BYTES + perHit * hits);
  }

  /** Records the length in bytes of an answer to a request for up to {@code hits} hits. */
  void record(String index, int hits, int bytes) {
    double perHit = Math.max(0, bytes - ENVELOPE_BYTES) / (double) Math.max(1, hits);
    hitBytes.merge(
        index,
        perHit,
        (before, latest) -> Math.max(latest, before + SMOOTHING * (latest - before)));
  }
}
