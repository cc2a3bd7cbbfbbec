/**
 * Fault injection for tests and measurements, never used in service: runs several processes of the
 * real program with emulated servers and injects faults into the processes and the links between
 * them, at random by a seed.
 *
 * <p>{@link bitternpulley.faultinjection.Cluster} starts the processes and is where a scenario
 * begins; {@link bitternpulley.faultinjection.Node} is one process, which can be paused, killed and
 * restarted; {@link bitternpulley.faultinjection.DirectedLink} is one direction of a link between
 * two parties, and {@link bitternpulley.faultinjection.Timeline} records the faults that were
 * injected and what was observed. A failure names the command that replays its seed.
 */
package bitternpulley.faultinjection;
