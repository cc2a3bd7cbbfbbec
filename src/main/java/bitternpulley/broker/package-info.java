/**
 * The core: typed events go into one {@link bitternpulley.broker.Reducer}, which alone changes the
 * state of requests, parts and attempts, drives the decision module, and returns effects; {@link
 * bitternpulley.broker.Broker} has a {@link bitternpulley.broker.Dialect} carry these out.
 *
 * <p>Invariants: one final answer for each request; never two attempts of a part out at once, and
 * no more than the settings allow; an attempt given up counts as out until its server has been
 * told. Nothing here blocks or knows a wire; all runs on one thread. Fronts, wires and the
 * operators' endpoint submit events. Start with {@link bitternpulley.broker.Reducer}.
 */
package bitternpulley.broker;
