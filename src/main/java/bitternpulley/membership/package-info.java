/**
 * Failure detection among the aggregators: decides which members are alive, suspect, dead or have
 * left, and how certain that is. It follows SWIM (Das, Gupta, Motivala 2002) with Lifeguard's
 * extensions (Dadgar, Phillips, Currey 2018). The protocol is a pure state machine: its inputs are
 * messages and the time, its outputs messages and state changes. It does no I/O, reads no clock,
 * starts no threads, and takes its randomness from a seed. {@code docs/membership.md} compares the
 * alternatives.
 *
 * <p>No instance declares a member dead on another member's report alone: each instance first
 * probes the suspect itself, directly and through relays. Each instance considers its own health
 * first: an instance that is slow, was paused or does not hear from a majority postpones declaring
 * others dead. The package knows nothing about queries. Invariants: a member's (epoch, incarnation)
 * never decreases; the work and bytes of one message are bounded, whatever it contains; the table
 * holds only configured members.
 *
 * <p>Start reading at {@link bitternpulley.membership.Membership}, the only entry point, which the
 * broker calls. {@link bitternpulley.membership.Prober} sends probes, {@link
 * bitternpulley.membership.UpdateHandler} applies gossip, {@link
 * bitternpulley.membership.FailureDetector} decides when suspects are dead.
 */
package bitternpulley.membership;
