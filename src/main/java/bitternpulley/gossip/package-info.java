/**
 * Transport between the aggregators: datagrams of at most 256 bytes, the platform's limit. It
 * decides nothing: a received datagram is checked, decoded once and submitted to the broker; what
 * the broker sends is encoded and transmitted. Active only where the operators' script calls {@code
 * membership()}.
 *
 * <p>Invariants: {@link bitternpulley.gossip.GossipCodec} is the only class that knows the bytes of
 * a datagram; a message is submitted only if it came from the configured address of the member it
 * names as its sender; each start of a member has a greater epoch than the one before.
 *
 * <p>The aggregator assembles it. Start reading at {@link bitternpulley.gossip.GossipService}.
 */
package bitternpulley.gossip;
