/**
 * Failure detection among the aggregators: decides which members are alive, suspect, dead or have
 * left, and how certain that is. It follows SWIM (Das, Gupta, Motivala 2002) with Lifeguard's
 * extensions (Dadgar, Phillips, Currey 2018). A pure state machine: messages and the time in,
 * messages and state changes out; no I/O, no clock, no threads, randomness from a seed. {@code
 * docs/membership.md} compares the alternatives.
 *
 * <p>It never declares a member dead on another member's report: each instance first probes the
 * suspect itself, directly and through relays. It considers its own health first: an instance that
 * is slow, was paused or does not hear from a majority withholds its verdict. It does not know
 * queries. Invariants: a member's (epoch, incarnation) never decreases; work and bytes of one
 * message are bounded, whatever it contains; the table holds only configured members.
 *
 * <p>Start reading at {@link bitternpulley.membership.Membership}, the only entry, which the broker
 * calls. {@link bitternpulley.membership.Prober} sends probes, {@link
 * bitternpulley.membership.UpdateHandler} applies gossip, {@link
 * bitternpulley.membership.FailureDetector} decides about suspects.
 */
package bitternpulley.membership;
