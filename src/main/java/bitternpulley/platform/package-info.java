/**
 * The platform's protocols: HTTP requests from clients, frames exchanged with slot servers, and
 * watches of service discovery.
 *
 * <p>{@link bitternpulley.platform.QueryFrontend} receives the queries of clients, decodes them
 * with {@code QueryCodec} and submits them to the {@code broker}, which decides which server
 * answers each part and which answer the client receives. {@link
 * bitternpulley.platform.SlotServers} sends the broker's attempts to slot servers: {@code
 * SlotConnectionPool} selects a {@code SlotConnection} for each call, and {@code SlotFrames}
 * encodes and decodes the frames. {@link bitternpulley.platform.Discovery} receives the endpoint
 * lists. At the start, {@link bitternpulley.platform.WarmupQueries} warms up the JVM and {@link
 * bitternpulley.platform.ConnectionPrewarmer} opens connections.
 *
 * <p>This package decides which connection carries a call, when another one is opened, and when an
 * idle one is closed. Invariants: the end of each attempt is reported exactly once; each message is
 * decoded once into a small record and encoded once, and the names on the wire occur in one class
 * for each peer; a protocol violation by a peer ends only that peer's own attempt, request or
 * watch; every buffer and set is bounded.
 *
 * <p>All classes run on the event loop and are assembled by the package {@code aggregator}. Start
 * reading with {@link bitternpulley.platform.QueryFrontend}.
 */
package bitternpulley.platform;
