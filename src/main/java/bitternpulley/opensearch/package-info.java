/**
 * The OpenSearch-style front: offers the search API to clients and uses the same API to call the
 * slot servers. Searches go through the same core, and follow the same rules, as the queries of the
 * platform's front.
 *
 * <p>This package decides which searches can be answered (a search whose results cannot be merged
 * correctly gets status 400), how a search is split into one part for each shard of each index, and
 * how the hits of the parts are merged. The core, not this package, chooses servers, retries and
 * admits searches.
 *
 * <p>Invariants: the names of the API are string literals in the classes that read or write its
 * messages, and {@code Search} holds none of them except in the body that is forwarded; status 429
 * is returned only when no part of the search can have run; all calls are made on the event loop
 * thread. The front is off unless it is configured. The package {@code aggregator} assembles it.
 * Start reading with {@link bitternpulley.opensearch.SearchFront}.
 */
package bitternpulley.opensearch;
