/**
 * Which part of what all aggregators may do together is this one's: the whole by the number of
 * those that may act, not of those that were configured, so that the part of the dead is not left
 * unused. A pure state machine: messages and the time in, messages out; no I/O, no thread, no
 * chance.
 *
 * <p>A few members are witnesses. Each grants any member that asks a lease, for so long, and with
 * it names all who hold one. Whoever holds leases of most witnesses may act, and takes the whole
 * divided by all whom these name. Invariants: two that may act at the same time name each other, so
 * all parts together are never more than the whole, whatever is cut, lost, late, stopped or started
 * anew; who is in doubt is named until its lease has run out; without leases a part is nothing.
 *
 * <p>It knows no queries and judges nobody: a dead member is one that asks no more. Called by the
 * core; the decision module reads {@link bitternpulley.leases.Leases#quotaFactor}. Start with
 * {@link bitternpulley.leases.Leases}.
 */
package bitternpulley.leases;
