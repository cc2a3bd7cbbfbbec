/**
 * Asynchronous sockets on one {@link bitternpulley.net.EventLoop}: connections, listeners, the
 * HTTP/1.1 parser, server and client, the frame codec, datagrams.
 *
 * <p>It decides when a connection is accepted, evicted, timed out and closed. It never decides what
 * a message means: it knows no query and no rule of the fleet.
 *
 * <p>Invariants: every buffer, queue and wait has a bound, given by the caller or named here.
 * Handlers run one at a time, in turns of the loop, and must not block. A peer that is slow, silent
 * or wrong ends its own connection and nothing else; the end of a connection is reported once.
 *
 * <p>Called by the query fronts, the wires to servers, discovery, gossip, the admin endpoint and
 * the emulators. Start reading with {@link bitternpulley.net.EventLoop}, then {@link
 * bitternpulley.net.Connection}, then {@link bitternpulley.net.HttpServer}.
 */
package bitternpulley.net;
