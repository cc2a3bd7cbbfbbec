/**
 * The way to the other aggregators: datagrams of at most 256 bytes, as the platform has them. It
 * decides nothing: what comes is checked, decoded once and handed to the core; what the core tells
 * is encoded and sent. Off unless the operators' script has {@code membership()}.
 *
 * <p>{@link bitternpulley.gossip.GossipService} puts the subsystem together.
 */
package bitternpulley.gossip;
