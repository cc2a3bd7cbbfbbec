/**
 * Assembles one aggregator process. {@link bitternpulley.aggregator.Aggregator} creates the
 * subsystems and starts them in order; {@code StartSequence} brings the process to readiness and
 * {@code GracefulShutdown} ends it. {@code ServiceContext} holds the objects that all subsystems
 * share. {@code EndpointListDistributor} passes on endpoint lists and {@code ConfigurationReload}
 * rereads the configuration while the process serves.
 *
 * <p>This package decides when the process listens, when it is ready and when it may exit. All
 * decisions about requests are made by the {@code broker}. Invariants: operator overrides, leases
 * and stored endpoints are in force before the first request is accepted; a draining process never
 * becomes ready; the process exits only once every accepted request has its response. Everything
 * runs on the event loop, except for reading configuration files and handling signals, which have
 * their own threads.
 *
 * <p>Class loading is part of the start-up cost, so the classes of a disabled subsystem are not
 * loaded. Called by {@link bitternpulley.Main}. Start reading with {@link
 * bitternpulley.aggregator.Aggregator}.
 */
package bitternpulley.aggregator;
