/**
 * The OpenSearch-style front: the search API towards clients, and the same API towards the slot
 * servers. It goes through the same core as the platform's front and keeps the same rules.
 *
 * <p>It decides which searches can be answered (what cannot be merged correctly gets 400), how a
 * search becomes one part for each shard of each index, and how the hits of the parts are merged.
 * It never chooses a server, retries, or admits: the core does. Invariants: the API's names are
 * string literals in the classes that read or write its messages, and {@code Search} is free of
 * them but for the body that it forwards; 429 is returned only when nothing of the search can have
 * run; all calls come on the thread of the event loop. Off unless configured; assembled by the
 * package {@code aggregator}. Start with {@link bitternpulley.opensearch.SearchFront}.
 */
package bitternpulley.opensearch;
