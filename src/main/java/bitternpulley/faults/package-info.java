/**
 * What if: several processes of the real program with stand-in servers, and faults between them and in them, by seed. Never
 * in service.
 *
 * <p>{@link bitternpulley.faults.Node} is one process, which can be stopped, killed and started again.
 */
package bitternpulley.faults;
