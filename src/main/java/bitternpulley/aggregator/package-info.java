/**
 * The assembly of one aggregator process: creates the subsystems, starts them in order, passes
 * endpoint lists on, reloads the configuration and shuts down gracefully.
 *
 * <p>It decides when the process listens, when it counts as ready and when it may exit. It never
 * decides about a request: that is up to the {@code broker}. Invariants: operator overrides, leases
 * and stored endpoints are in force before the first request is accepted; a process that drains
 * never becomes ready; it exits only once every accepted request has its response. All runs on the
 * event loop but for configuration files and signals, which have threads of their own.
 *
 * <p>Class loading is part of the start-up cost, so the classes of a subsystem that is off are not
 * loaded. Called by {@link bitternpulley.Main}. Start reading with {@link
 * bitternpulley.aggregator.Aggregator}.
 */
package bitternpulley.aggregator;
