/**
 * Emulators of the systems that the aggregator works with, for measurements, the demo and tests,
 * and never used in service: slot servers that implement the platform's frame protocol and the
 * search API over one work queue, and discovery. They are written from the protocol specifications.
 *
 * <p>{@link bitternpulley.emulator.Fleet} creates a fleet (start reading there). A server behaves
 * like a real one: it has a number of cores, a bounded queue, and parts whose work the query
 * states; it can be made slow or silent while it runs. {@link bitternpulley.emulator.RuleCheck}
 * observes every attempt and reports which rules were violated.
 */
package bitternpulley.emulator;
