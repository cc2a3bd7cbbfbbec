package bitternpulley.opensearch;

import bitternpulley.contracts.TenantIdentification;
import bitternpulley.routing.Router;

/**
 * What a request says of its sender.
 *
 * @param keyOwner the owner of the API key
 * @param idempotencyKey the idempotency key, or null
 * @param lateness how late the request was read
 */
record SearchCaller(
    TenantIdentification.KeyOwner keyOwner, String idempotencyKey, Router.Lateness lateness) {
  /** The caller of one search of several, which has an idempotency key of its own. */
  SearchCaller ofSearch(int position) {
    return new SearchCaller(
        keyOwner, idempotencyKey == null ? null : idempotencyKey + "." + position, lateness);
  }
}
