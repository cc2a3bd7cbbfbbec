/**
 * What if: several processes of the real program with stand-in servers, and faults between them and
 * in them, by seed. Never in service.
 *
 * <p>{@link bitternpulley.faults.Cluster} starts them and is where a scenario begins; {@link
 * bitternpulley.faults.Node} is one process, which can be stopped, killed and started again; {@link
 * bitternpulley.faults.Path} is one direction between two, and {@link
 * bitternpulley.faults.Timeline} what was put in and seen. A failure names the command that replays
 * its seed.
 */
package bitternpulley.faults;
