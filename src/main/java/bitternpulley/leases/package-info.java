/**
 * Decides which share of the fleet's common budget this instance may use. The budget is divided by
 * the number of members that may act, not by the number configured, so that the quota of a dead
 * member is not left unused. A pure state machine: messages and the time in, messages out; no I/O,
 * no threads, no randomness.
 *
 * <p>A few members are witnesses. A witness grants a lease of fixed duration to any member that
 * requests one, and lists in each grant all members that hold a lease of it. A member that holds
 * usable leases of a majority of the witnesses may act; its quota is one divided by the number of
 * members that these leases list.
 *
 * <p>Invariants: any two members that act at the same time list each other, so all quotas together
 * never exceed the budget, under partitions, message loss, delay, pauses and restarts; a member is
 * listed until its lease has surely expired; a member without a majority of leases has quota 0.
 *
 * <p>It does not know queries and does not detect failures: a dead member is one that stops
 * requesting. The broker calls it; the routing policy reads {@link
 * bitternpulley.leases.Leases#quotaFactor}. Start reading at {@link bitternpulley.leases.Leases}.
 */
package bitternpulley.leases;
