package bitternpulley.opensearch;

import bitternpulley.broker.Effect;
import bitternpulley.broker.Payload;
import java.util.function.Consumer;

/**
 * A search in the core, with the recipient of its answer.
 *
 * @param search the search
 * @param onAnswer receives the final answer once
 */
record PendingSearch(Search search, Consumer<Effect.Answer> onAnswer) implements Payload {
  /** The search of an attempt that the core starts. */
  static Search of(Effect.StartAttempt attempt) {
    return ((PendingSearch) attempt.request().payload()).search();
  }
}
