/**
 * Estimates that one instance derives from its own measurements of the slot servers and of its
 * load: how many parts a server has capacity for, how much work a part requires, how far a server
 * has warmed up, whether all servers are stalled.
 *
 * <p>{@code ServerConcurrencyLimit} and {@code SlowStartBudget} limit what this instance sends to
 * one server, {@link bitternpulley.health.InstanceConcurrencyLimit} limits what it has in flight at
 * all servers together. {@code WorkEstimate}, {@code CoreEstimate} and {@code ZoneLatency} estimate
 * the work of a part, the cores of a server and the latency of a zone from the answers. {@code
 * StallDetector} and {@code ProcessPauses} recognize delays that no single server caused. {@code
 * ClientRetryDetector} and {@code TenantQuotas} classify incoming queries.
 *
 * <p>Each class holds one estimate and the rules by which it changes; the time is passed in.
 * Nothing here does I/O, uses the state of a query or chooses a server. Times are milliseconds of
 * the caller's clock, work is milliseconds of one core.
 *
 * <p>Called by {@code policy} only. Start with {@link bitternpulley.health.ServerConcurrencyLimit}
 * and {@link bitternpulley.health.SlowStartBudget}.
 */
package bitternpulley.health;
