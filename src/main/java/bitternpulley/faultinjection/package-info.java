/**
 * What if: several processes of the real program with stand-in servers, and faults between them and
 * in them, by seed. Never in service.
 *
 * <p>{@link bitternpulley.faultinjection.Cluster} starts them and is where a scenario begins;
 * {@link bitternpulley.faultinjection.Node} is one process, which can be stopped, killed and
 * started again; {@link bitternpulley.faultinjection.Path} is one direction between two, and {@link
 * bitternpulley.faultinjection.Timeline} what was put in and seen. A failure names the command that
 * replays its seed.
 */
package bitternpulley.faultinjection;
