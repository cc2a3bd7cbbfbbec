/**
 * The adapter for the simulator: batches of events on standard input, one reply each on standard
 * output, many instances of the decision module in one process.
 *
 * <p>Instances share nothing, and the same batches give the same replies. An input that cannot be
 * used ends the program with a message that names the batch. Never part of a process that serves.
 * Start with {@link bitternpulley.simulator.Host}.
 */
package bitternpulley.simulator;
