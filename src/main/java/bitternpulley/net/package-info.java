/**
 * Asynchronous sockets on one {@link bitternpulley.net.EventLoop}: connections, listeners, the
 * HTTP/1.1 parser, server and client, the frame codec, datagrams.
 *
 * <p>It knows no query and no rule of the fleet. Every buffer, queue and wait has a bound, given by
 * the caller or named here; handlers run one at a time and must not block. A peer that is slow,
 * silent or wrong ends its own connection and nothing else. Used by all fronts and wires. Start
 * with {@link bitternpulley.net.EventLoop} and {@link bitternpulley.net.Connection}.
 */
package bitternpulley.net;
