/**
 * The core of an aggregator: {@link bitternpulley.broker.Broker} feeds typed events to one {@link
 * bitternpulley.broker.Reducer}, which drives the routing policy and returns effects. The broker
 * then carries out the effects, those for clients and servers through a {@link
 * bitternpulley.broker.ProtocolAdapter}.
 *
 * <p>The core keeps the state of requests, parts and attempts, and enforces the limits on attempts.
 * It does not choose servers, timeouts or answers, which is up to the routing policy, and does not
 * decide which requests a contract admits. It never blocks, reads no socket and knows no wire
 * format. All of it runs on the event loop's thread.
 *
 * <p>Invariants: each request has at most one final answer; each part has at most one attempt in
 * flight and no more attempts in total than the settings allow; a cancelled attempt stays in flight
 * until its server was notified.
 *
 * <p>Client protocols, server protocols, discovery, gossip and the admin endpoint submit events.
 * Start with {@link bitternpulley.broker.Reducer}, which shows the handlers and their order, then
 * read {@link bitternpulley.broker.Event} and {@link bitternpulley.broker.Effect}.
 */
package bitternpulley.broker;
