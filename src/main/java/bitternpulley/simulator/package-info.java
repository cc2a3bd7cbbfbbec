/**
 * The adapter for the simulator: reads batches of messages from standard input, drives one routing
 * policy per simulated instance, and writes one reply with their actions for each batch.
 *
 * <p>{@link bitternpulley.simulator.Main} reads the batches, one per line, and passes them to
 * {@link bitternpulley.simulator.SimulatorAdapter}, which calls the routing policies. The names of
 * the simulator's protocol occur only in {@code MessageReader} (incoming) and {@code ActionWriter}
 * (outgoing).
 *
 * <p>The adapter decides nothing itself, and is never part of a serving process. Invariants:
 * instances share no state, and the same batches give the same replies. A batch that cannot be used
 * ends the program with a message that has the number of the batch; a routing policy that throws an
 * exception is reported in the reply instead. Called by the command line as {@code simhost}. Start
 * with {@link bitternpulley.simulator.SimulatorAdapter}.
 */
package bitternpulley.simulator;
