/**
 * Fault injection for tests and measurements, never used in service: runs several processes of the
 * real program with emulated servers and injects faults into the processes and the links between
 * them. Random faults are derived from a seed.
 *
 * <p>{@link bitternpulley.faultinjection.Cluster} starts the processes and the servers and injects
 * single faults; a {@link bitternpulley.faultinjection.Scenario} injects a sequence of them at
 * given times. {@link bitternpulley.faultinjection.Node} is one process, which can be paused,
 * killed and restarted. {@link bitternpulley.faultinjection.DirectedLink} is one direction of a
 * link between two parties; {@link bitternpulley.faultinjection.DatagramProxy} and {@link
 * bitternpulley.faultinjection.StreamProxy} carry the traffic over these links. {@link
 * bitternpulley.faultinjection.QueryClients} sends queries to the processes and counts the answers.
 * {@link bitternpulley.faultinjection.Timeline} records the injected faults and the observations.
 * The message of a failure has the command that replays the seed. Start with {@link
 * bitternpulley.faultinjection.Cluster}.
 */
package bitternpulley.faultinjection;
