/**
 * Emulators of the systems that the aggregator works with, for measurements, the demo and tests,
 * and never used in service: slot servers that implement the platform's frame protocol and the
 * search API over one work queue, and discovery. They are written from the protocol specifications.
 *
 * <p>{@link bitternpulley.emulator.Fleet} creates the servers, discovery and the configuration of
 * aggregators that use them. A {@link bitternpulley.emulator.SlotServer} behaves like a real one:
 * it has a number of cores and a bounded queue, a part takes as long as its query states, and the
 * server can be made slow or unresponsive while it runs. {@code DiscoveryService} sends the
 * endpoint list and its changes. {@link bitternpulley.emulator.RuleCheck} observes every attempt
 * and records which rules were violated. {@link bitternpulley.emulator.StubSlotServers} emulates a
 * large number of servers that do no work. Start with {@link bitternpulley.emulator.Fleet}.
 */
package bitternpulley.emulator;
