/**
 * Transport of membership and lease messages between the aggregators, in UDP datagrams of at most
 * 256 bytes, the platform's limit. {@link bitternpulley.gossip.GossipService} owns the socket: it
 * has each received datagram decoded by {@link bitternpulley.gossip.GossipCodec}, checks the sender
 * and submits the message to the broker; messages from the broker are encoded and sent. {@code
 * EpochFile} chooses the epoch at the start. The protocols themselves are in the packages {@code
 * membership} and {@code leases}. Active only if the operators' script calls {@code membership()}.
 *
 * <p>Invariants: only {@link bitternpulley.gossip.GossipCodec} and the classes that it uses depend
 * on the byte format of datagrams; a message is submitted only if it came from the configured
 * address of the member that it names as its sender; with a state directory, each start of a member
 * has a greater epoch than the previous one.
 *
 * <p>The {@code aggregator} package creates the service. Start reading with {@link
 * bitternpulley.gossip.GossipService}.
 */
package bitternpulley.gossip;
