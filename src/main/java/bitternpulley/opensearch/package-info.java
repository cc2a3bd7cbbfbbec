/**
 * The OpenSearch-style search API: offered to clients, and used to call the slot servers. Searches
 * go through the same {@code broker}, and follow the same rules, as the queries of the platform's
 * protocol.
 *
 * <p>{@link bitternpulley.opensearch.SearchFrontend} handles the HTTP requests. {@code
 * SearchTarget}, {@code SearchBodies} and {@code SearchDecoder} decode each search into a {@code
 * Search}, which {@code SearchSubmitter} submits to the broker. {@link
 * bitternpulley.opensearch.SearchServers} sends the broker's attempts to the slot servers, with
 * {@code PartRequestEncoder} and {@code PartResponseDecoder}. {@code TopHits} merges the hits of
 * the parts as they arrive, and {@code SearchResponse} encodes the broker's answer. {@code
 * SearchMemory} accounts for the heap that a search occupies.
 *
 * <p>This package decides which searches can be answered (a search whose results cannot be merged
 * correctly gets status 400), how a search is split into one part for each shard of each index, and
 * how the hits of the parts are merged. The broker, not this package, chooses servers, retries and
 * admits searches.
 *
 * <p>Invariants: the names of the API are string literals in the classes that read or write its
 * messages, and {@code Search} holds none of them except in the body that is forwarded; status 429
 * is returned only when no part of the search can have run or its class may be repeated freely; all
 * calls are made on the event loop thread. The API is off unless it is configured. The package
 * {@code aggregator} creates these classes. Start reading with {@link
 * bitternpulley.opensearch.SearchFrontend}.
 */
package bitternpulley.opensearch;
