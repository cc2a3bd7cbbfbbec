/**
 * Measurements of the real aggregator against emulated slot servers, each started by its {@code
 * make measure-NAME}. Each ends by itself, within 40 s or, for {@link
 * bitternpulley.benchmark.MeasureScaleServers}, 300 s. Its last line of output is one JSON object
 * with figures computed from what clients and servers observed. Not used in production.
 */
package bitternpulley.benchmark;
