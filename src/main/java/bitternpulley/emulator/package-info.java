/**
 * Stand-ins of what the aggregator works with: slot servers that speak the platform's frames and
 * the search API, over one queue of work, and discovery. Written from the protocols; for
 * measurements, the demo and tests, never for service.
 *
 * <p>{@link bitternpulley.emulator.Fleet} puts one together (start reading there). A server works
 * as real ones do: so many cores, a waiting room, parts whose work the query tells; it can be made
 * slow or silent while it runs. {@link bitternpulley.emulator.RuleCheck} sees every attempt and
 * says which rules were broken.
 */
package bitternpulley.emulator;
