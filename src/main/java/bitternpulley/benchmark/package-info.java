/**
 * Measurements of the real aggregator against emulated slot servers, each started by its {@code
 * make measure-NAME}. Each ends by itself, within 40 s or, for {@link
 * bitternpulley.benchmark.MeasureScaleServers}, 300 s. Its last line of output is one JSON object
 * with figures computed from what clients and servers observed. Not used in production.
 *
 * <p>Each class {@code Measure...} is a program, which {@code MeasurementRunner} runs with a time
 * limit. {@code TenantClients} and {@code OpenLoopLoad} send queries, and {@code ProcessUsage}
 * reads the resources that an aggregator uses. The measurements of membership use the clusters and
 * faults of {@code faultinjection}. Start with {@link bitternpulley.benchmark.MeasureContracts}.
 */
package bitternpulley.benchmark;
