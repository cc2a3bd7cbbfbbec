/**
 * Decides which share of the fleet's common budget this instance may use. The budget is divided by
 * the number of members that may act, not by the number of configured members, so that the quota of
 * a dead member does not stay unused. The package is a pure state machine: messages and the time go
 * in, messages come out. It has no I/O, no threads and no randomness.
 *
 * <p>A few members are witnesses. A witness grants a lease of fixed duration to any member that
 * requests one, and lists in each grant all members that hold a lease from it. A member that holds
 * usable leases from a majority of the witnesses may act; its quota is one divided by the number of
 * members listed in these leases.
 *
 * <p>Invariants: the leases of any two members that act at the same time list both members, so the
 * sum of all quotas never exceeds the budget, even under partitions, message loss, delay, pauses
 * and restarts; a member is listed until its lease has certainly expired; a member without leases
 * from a majority of the witnesses has quota 0.
 *
 * <p>The package has no knowledge of queries and does not detect failures: a dead member is one
 * that stops requesting leases. The broker calls it; the routing policy reads {@link
 * bitternpulley.leases.Leases#quotaFactor}. Start reading at {@link bitternpulley.leases.Leases},
 * which combines {@code LeaseHolder} for the leases that this member holds and {@code LeaseWitness}
 * for those that it grants as a witness.
 */
package bitternpulley.leases;
