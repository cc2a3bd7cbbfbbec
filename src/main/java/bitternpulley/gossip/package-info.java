/**
 * Transport between the aggregators: datagrams of at most 256 bytes, the platform's limit. This
 * package makes no decisions: a received datagram is checked, decoded once and submitted to the
 * broker; messages from the broker are encoded and sent. Active only if the operators' script calls
 * {@code membership()}.
 *
 * <p>Invariants: only {@link bitternpulley.gossip.GossipCodec} and the classes that it uses depend
 * on the byte format of datagrams; a message is submitted only if it came from the configured
 * address of the member that it names as its sender; each start of a member has a greater epoch
 * than the previous one.
 *
 * <p>The {@code aggregator} package creates the service. Start reading with {@link
 * bitternpulley.gossip.GossipService}.
 */
package bitternpulley.gossip;
