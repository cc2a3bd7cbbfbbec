/**
 * The second front, in the style of the OpenSearch search API: {@link
 * bitternpulley.opensearch.SearchFront} reads searches, {@link
 * bitternpulley.opensearch.SearchServers} sends each part to a holder, {@link
 * bitternpulley.opensearch.SearchResponse} merges hits.
 *
 * <p>It goes through the same core as the platform's front and keeps the same rules; what cannot be
 * merged rightly gets 400. Off unless configured. Start with {@link
 * bitternpulley.opensearch.SearchFront}.
 */
package bitternpulley.opensearch;
