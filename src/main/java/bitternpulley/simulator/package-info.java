/**
 * The adapter for the simulator: reads batches of messages from standard input, drives one routing
 * policy per simulated instance, and writes one reply with their actions for each batch.
 *
 * <p>It decides nothing itself, and is never part of a serving process. Invariants: instances share
 * no state; the same batches give the same replies; the names of the simulator's protocol occur
 * only in {@code MessageReader} (incoming) and {@code ActionWriter} (outgoing). A batch that cannot
 * be used ends the program with a message that names it; a routing policy that throws is reported
 * in the reply instead. Called by the command line as {@code simhost}. Start with {@link
 * bitternpulley.simulator.SimulatorAdapter}.
 */
package bitternpulley.simulator;
