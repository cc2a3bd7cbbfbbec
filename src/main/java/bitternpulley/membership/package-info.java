/**
 * Who is here, and how sure are we: failure detection among the aggregators, after SWIM (Das,
 * Gupta, Motivala 2002) with the lessons of Lifeguard (Dadgar, Phillips, Currey 2018). Pure:
 * messages and the time in, messages and verdicts out; no I/O, no clock, no thread, chance by seed.
 * {@code docs/membership.md} weighs the ways.
 *
 * <p>It never calls anyone dead on another's word: each asks the suspect itself, and by others,
 * before it does. It judges itself first: late, paused or cut off from most, it withholds
 * judgement. It knows nothing of queries. Invariants: a member's (epoch, incarnation) never falls;
 * work and bytes of one message are bounded, whatever it says; the table is bounded.
 *
 * <p>Start with {@link bitternpulley.membership.Membership}, the one entry; the reducer calls it.
 */
package bitternpulley.membership;
