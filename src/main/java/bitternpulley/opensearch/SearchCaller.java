package bitternpulley.opensearch;

import bitternpulley.contracts.TenantIdentification;
import bitternpulley.routing.Router;

/**
 * The sender of a request, and the delay of the request within this instance.
 *
 * @param keyOwner the result of the check of the API key
 * @param idempotencyKey the idempotency key, or null
 * @param lateness by how much this instance delayed the request
 */
record SearchCaller(
    TenantIdentification.KeyOwner keyOwner, String idempotencyKey, Router.Lateness lateness) {
  /** Returns the caller of one search of a multi-search, with an idempotency key of its own. */
  SearchCaller forSearch(int position) {
    return new SearchCaller(
        keyOwner, idempotencyKey == null ? null : idempotencyKey + "." + position, lateness);
  }
}
