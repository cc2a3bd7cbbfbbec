/**
 * Decides which queries are admitted when several teams share one aggregator. "Team" and "tenant"
 * name the same thing here, the customer of a contract; the admin reports and the contract log say
 * team. The tenants in the platform's settings are separate from contracts and serve load shedding.
 * Each team has a {@link bitternpulley.contracts.Contract} and an account. {@link
 * bitternpulley.contracts.AdmissionControl} admits a query on its team's guaranteed quota or on
 * capacity that other teams leave idle, or rejects the query with a Retry-After and reserves
 * capacity for its return. Start reading there. {@code CapacityEstimate} estimates the capacity to
 * be divided, {@code CapacityPool} and {@code QuotaBuckets} divide it, and {@code
 * RetryReservations} holds the capacity reserved for rejected callers. {@link
 * bitternpulley.contracts.TenantIdentification} finds the team of a request.
 *
 * <p>The package does no I/O, has no clock (each call passes the time in ms), does not know any
 * wire format and chooses no server. A query that it admits may still be rejected by the routing
 * policy; no part of a query that it rejects has run.
 *
 * <p>Invariants: guaranteed quotas add up to at most one; a team below its guaranteed quota is
 * never rejected because of another team; a query is charged its estimated work and settled once,
 * by its measured work; a reservation belongs to one caller; memory is bounded by the number of
 * contracts and of pending queries. Admission control is called only by the broker, on its one
 * thread; the protocol front ends use the identification of teams and {@link
 * bitternpulley.contracts.QueryFingerprint}.
 */
package bitternpulley.contracts;
