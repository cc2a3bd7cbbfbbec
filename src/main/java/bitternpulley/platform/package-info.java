/**
 * The platform's protocol: HTTP with clients, frames with slot servers, watches of discovery.
 *
 * <p>This package decides which connection carries a call, when another one is opened, and when an
 * idle one is closed. The core, not this package, decides which server answers a part and what a
 * client is answered. Invariants: the end of each attempt is reported exactly once; each message is
 * decoded once into a small record and encoded once, and the names on the wire occur in one class
 * for each peer; a protocol violation by a peer ends only that peer's own attempt, request or
 * watch; every buffer and set is bounded.
 *
 * <p>{@link bitternpulley.platform.QueryFront} serves clients, with {@code QueryCodec}. {@link
 * bitternpulley.platform.SlotServers} communicates with slot servers, with {@code
 * SlotConnectionPool}, {@code SlotConnection} and {@code SlotFrames}. {@link
 * bitternpulley.platform.Discovery} watches the endpoint list. {@link
 * bitternpulley.platform.WarmupQueries} warms up the JVM and {@link
 * bitternpulley.platform.ConnectionPrewarmer} the connections. All classes run on the event loop
 * and are assembled by the aggregator. Start with {@link bitternpulley.platform.QueryFront}.
 */
package bitternpulley.platform;
