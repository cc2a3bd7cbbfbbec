/**
 * What one instance has measured of slot servers and of its own load: how many parts a server has
 * capacity for, how much work a part is, how a server warms up, whether everything stalls.
 *
 * <p>Each class holds one estimate and its transitions; the time is passed in. Nothing here does
 * I/O, knows of a query's state or chooses a server. Times are milliseconds of the caller's clock,
 * work is milliseconds of one core.
 *
 * <p>Called by {@code policy} only. Start with {@link bitternpulley.health.ServerConcurrencyLimit}
 * and {@link bitternpulley.health.SlowStartBudget}.
 */
package bitternpulley.health;
