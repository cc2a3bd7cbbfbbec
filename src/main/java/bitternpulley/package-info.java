/**
 * Entry points of the jar. {@link bitternpulley.Main} runs the command named by its first argument:
 * {@code serve} runs one aggregator, {@code rehearse} starts an aggregator to create the JVM's
 * class archive, {@code simhost} runs the routing policy on the simulator's pipe, {@code check}
 * checks an operators' script.
 *
 * <p>An aggregator sends the parts of each client query to slot servers and merges their results
 * into one answer. The package {@code aggregator} assembles the process. {@code platform} and
 * {@code opensearch} communicate with clients and slot servers over the connections of {@code net},
 * and submit events to the {@code broker}, which keeps the state of all requests. The broker asks
 * {@code contracts} whether to admit a request and {@code policy} which servers receive its parts.
 * {@code membership}, {@code leases} and {@code gossip} connect the aggregators of a fleet. {@code
 * config} and {@code script} read the settings, and {@code admin} serves the operators.
 *
 * <p>This package contains no logic of its own. If the configuration is invalid, {@code serve},
 * {@code rehearse} and {@code check} exit with one line on standard error and status 2.
 */
package bitternpulley;
