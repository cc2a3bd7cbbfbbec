/**
 * Asynchronous network I/O on one {@link bitternpulley.net.EventLoop}. {@link
 * bitternpulley.net.Connection} is one TCP connection, which reports received bytes to its owner.
 * {@link bitternpulley.net.HttpServer} and {@link bitternpulley.net.HttpClient} exchange HTTP/1.1
 * messages over connections, parsed by {@link bitternpulley.net.HttpParser}. {@link
 * bitternpulley.net.FrameCodec} encodes and decodes the frames exchanged with slot servers, {@link
 * bitternpulley.net.LineServer} serves one-line requests, and {@link bitternpulley.net.UdpSocket}
 * sends and receives UDP datagrams.
 *
 * <p>This package decides when a connection is accepted, evicted, timed out and closed. It does not
 * interpret messages and has no knowledge of queries, endpoint lists or members.
 *
 * <p>Invariants: every buffer, queue and wait has a bound, given by the caller or defined here.
 * Handlers run one at a time, in turns of the loop, and must not block. A slow, silent or faulty
 * peer affects only its own connection; the end of a connection is reported once.
 *
 * <p>Used by the HTTP front ends for clients, the connections to servers, discovery, gossip, the
 * admin endpoint and the emulators. Start reading with {@link bitternpulley.net.EventLoop}, then
 * {@link bitternpulley.net.Connection}, then {@link bitternpulley.net.HttpServer}.
 */
package bitternpulley.net;
