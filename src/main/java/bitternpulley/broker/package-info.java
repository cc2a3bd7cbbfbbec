/**
 * The core: typed events go into one {@link bitternpulley.broker.Reducer}, which drives the routing
 * policy and returns effects; {@link bitternpulley.broker.Broker} has a {@link
 * bitternpulley.broker.Dialect} carry these out.
 *
 * <p>It keeps the state of requests, parts and attempts, and enforces the limits on attempts. It
 * never chooses a server, a timeout or an answer, which the routing policy does, nor decides whom a
 * contract admits; it never blocks, reads a socket or knows a wire format. Everything runs on the
 * event loop's thread.
 *
 * <p>Invariants: each request has at most one final answer; no part has two attempts in flight, nor
 * more in all than the settings allow; a cancelled attempt stays in flight until its server was
 * notified.
 *
 * <p>Client protocols, server protocols, discovery, gossip and the admin endpoint submit events.
 * Start with {@link bitternpulley.broker.Reducer}, which shows the handlers and their order, then
 * read {@link bitternpulley.broker.Event} and {@link bitternpulley.broker.Effect}.
 */
package bitternpulley.broker;
