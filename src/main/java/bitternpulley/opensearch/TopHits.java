package bitternpulley.opensearch;

import java.util.Arrays;
import java.util.List;
import java.util.OptionalDouble;
import java.util.PriorityQueue;

/**
 * The best hits of all parts of a search that have arrived. No more are kept than the search can
 * return, however many parts it has.
 */
final class TopHits {
  private final int limit;

  /** The best hits, the worst of them first. */
  private final PriorityQueue<RankedHit> best = new PriorityQueue<>(RankedHit.RANKING.reversed());

  private OptionalDouble maxScore = OptionalDouble.empty();
  private long heapBytes;

  /** Creates an empty list that keeps at most {@code limit} hits. */
  TopHits(int limit) {
    this.limit = limit;
  }

  /** Adds the hits of the part at this position of the search. */
  void add(int partIndex, PartHits part) {
    int position = 0;
    for (PartHits.Hit hit : part.hits()) {
      maxScore = OptionalDouble.of(Math.max(hit.score(), maxScore.orElse(hit.score())));
      add(partIndex, position, hit, part.answer());
      position++;
    }
  }

  private void add(int partIndex, int position, PartHits.Hit hit, byte[] answer) {
    if (best.size() >= limit && !isBetterThanWorst(hit.score(), partIndex, position)) {
      return;
    }
    byte[] document = Arrays.copyOfRange(answer, hit.start(), hit.end());
    RankedHit ranked = new RankedHit(hit.score(), partIndex, position, document);
    best.add(ranked);
    heapBytes += ranked.heapBytes();
    if (best.size() > limit) {
      heapBytes -= best.poll().heapBytes();
    }
  }

  private boolean isBetterThanWorst(double score, int partIndex, int position) {
    RankedHit candidate = new RankedHit(score, partIndex, position, null);
    return limit > 0 && RankedHit.RANKING.compare(candidate, best.peek()) < 0;
  }

  /** Returns the hits from a rank on, best first. */
  List<RankedHit> from(int rank) {
    return best.stream().sorted(RankedHit.RANKING).skip(rank).toList();
  }

  /** Returns the best score of all hits, kept or not; empty if there were none. */
  OptionalDouble maxScore() {
    return maxScore;
  }

  /** Returns the heap that the hits occupy, in bytes. */
  long heapBytes() {
    return heapBytes;
  }
}
