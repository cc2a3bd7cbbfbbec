package bitternpulley.opensearch;

import bitternpulley.broker.Effect;
import bitternpulley.broker.Payload;
import java.util.function.Consumer;

/**
 * A search that the broker is answering, with the recipient of the answer.
 *
 * @param search the search
 * @param topHits the best hits of the parts that have arrived
 * @param memory the heap that the search occupies
 * @param onAnswer called once, with the final answer
 */
record PendingSearch(
    Search search, TopHits topHits, SearchMemory memory, Consumer<Effect.Answer> onAnswer)
    implements Payload {
  /** Returns the search that an attempt belongs to. */
  static PendingSearch of(Effect.StartAttempt attempt) {
    return (PendingSearch) attempt.request().payload();
  }

  /** Merges the hits of a part that has arrived; hits that come too late are dropped. */
  void merge(int partIndex, PartHits hits) {
    if (memory.isPending()) {
      topHits.add(partIndex, hits);
      memory.merged(topHits.heapBytes());
    }
  }
}
