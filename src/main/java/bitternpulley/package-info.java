/**
 * Entry points of the jar. {@link bitternpulley.Main} runs the command that its first argument
 * names: {@code serve} one aggregator, {@code rehearse} a start for the class archive, {@code
 * simhost} the routing policy on the simulator's pipe, {@code check} an operators' script.
 *
 * <p>Nothing here decides or does any work of its own. A configuration that cannot be used ends
 * {@code serve}, {@code rehearse} and {@code check} with one line on standard error and status 2.
 */
package bitternpulley;
