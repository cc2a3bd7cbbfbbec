/**
 * Decides which queries are admitted when several teams share one aggregator. Each team has a
 * {@link bitternpulley.contracts.Contract} and an account; {@link
 * bitternpulley.contracts.AdmissionControl}, where to start reading, admits a query on its team's
 * guaranteed quota or on capacity that others leave idle, or rejects it with a Retry-After behind
 * which capacity is reserved for it.
 *
 * <p>The package does no I/O, has no clock (milliseconds come in with each call), does not know any
 * wire format and chooses no server. A query that it admits may still be rejected by the routing
 * policy; no part of a query that it rejects has run.
 *
 * <p>Invariants: guaranteed quotas add up to at most one; a team below its guarantee is never
 * rejected because of another team; what is charged by estimate is settled once, by what was
 * measured; a reservation belongs to one caller; memory is bounded by the number of contracts and
 * of pending queries. Called only by the broker's reducer, on its one thread.
 */
package bitternpulley.contracts;
