/**
 * Who is admitted. Several teams share one aggregator; each has a {@link
 * bitternpulley.contracts.Contract} and an account, and {@link
 * bitternpulley.contracts.AdmissionControl} (start reading there) keeps the one by the other: it
 * admits a query on its team's own share, on what others leave idle, or refuses it with the time at
 * which its place will be there.
 *
 * <p>It decides before the module's own limits and never overrides a rule: what it admits the
 * module may still refuse, and what it refuses no part of has run. It does no I/O, has no clock (ms
 * come in with each call), knows no wire, and picks no server.
 *
 * <p>Invariants: guarantees add up to at most one; a team below its guarantee is never refused for
 * another's sake; what was charged by estimate is settled once, by what was seen; a place is
 * promised to one caller at most; what is kept is bounded by the contracts and the queries that are
 * open. Called by the core's reducer only, on its one thread.
 */
package bitternpulley.contracts;
