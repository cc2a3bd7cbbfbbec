/**
 * Entry points of the jar. {@link bitternpulley.Main} runs the command named by its first argument:
 * {@code serve} runs one aggregator, {@code rehearse} starts an aggregator to create the JVM's
 * class archive, {@code simhost} runs the routing policy on the simulator's pipe, {@code check}
 * checks an operators' script.
 *
 * <p>This package contains no logic of its own. If the configuration is invalid, {@code serve},
 * {@code rehearse} and {@code check} exit with one line on standard error and status 2.
 */
package bitternpulley;
