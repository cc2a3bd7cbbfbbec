/**
 * The platform's protocol: HTTP with clients, frames with slot servers, watches of discovery.
 *
 * <p>It decides which connection carries a call, when another is opened, and when an idle one is
 * closed. It never decides which server answers a part, or what a client is answered: that is the
 * core's. Invariants: each attempt's end is reported exactly once; messages are decoded into small
 * records once and encoded once, with the names of the wire in one class for each peer; what a peer
 * sends in breach of the protocol ends its own attempt, request or watch and nothing else; every
 * buffer and set is bounded.
 *
 * <p>{@link bitternpulley.platform.QueryFront} serves clients, with {@code QueryCodec}. {@link
 * bitternpulley.platform.SlotServers} talks to slot servers, with {@code SlotConnectionPool},
 * {@code SlotConnection} and {@code SlotFrames}. {@link bitternpulley.platform.Discovery} watches
 * the endpoint list. {@link bitternpulley.platform.WarmupQueries} warms up the JVM and {@link
 * bitternpulley.platform.ConnectionPrewarmer} the connections. All of it runs on the event loop and
 * is assembled by the aggregator. Start with {@link bitternpulley.platform.QueryFront}.
 */
package bitternpulley.platform;
