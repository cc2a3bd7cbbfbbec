/**
 * Asynchronous sockets on one {@link bitternpulley.net.EventLoop}: connections, listeners, the
 * HTTP/1.1 parser, server and client, the frame codec, datagrams.
 *
 * <p>This package decides when a connection is accepted, evicted, timed out and closed. It does not
 * interpret messages: it knows neither queries nor the rules of the fleet.
 *
 * <p>Invariants: every buffer, queue and wait has a bound, given by the caller or defined here.
 * Handlers run one at a time, in turns of the loop, and must not block. A slow, silent or faulty
 * peer affects only its own connection; the end of a connection is reported once.
 *
 * <p>Used by the query fronts, the connections to servers, discovery, gossip, the admin endpoint
 * and the emulators. Start reading with {@link bitternpulley.net.EventLoop}, then {@link
 * bitternpulley.net.Connection}, then {@link bitternpulley.net.HttpServer}.
 */
package bitternpulley.net;
