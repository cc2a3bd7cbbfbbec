package bitternpulley.opensearch;

import bitternpulley.broker.Effect;
import bitternpulley.broker.Payload;
import java.util.function.Consumer;

/**
 * A search that the broker is answering, with the recipient of the answer.
 *
 * @param search the search
 * @param onAnswer called once, with the final answer
 */
record PendingSearch(Search search, Consumer<Effect.Answer> onAnswer) implements Payload {
  /** Returns the search that an attempt belongs to. */
  static Search searchOf(Effect.StartAttempt attempt) {
    return ((PendingSearch) attempt.request().payload()).search();
  }
}
