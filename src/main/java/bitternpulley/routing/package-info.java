/**
 * The types that the routing policy and its callers share: {@link bitternpulley.routing.Router}
 * with its events and actions, and {@link bitternpulley.routing.Settings}, the settings of an
 * instance.
 *
 * <p>Nothing is decided here. All types are immutable; times are ms of the caller's clock, shares
 * are of a query's weight unless they say otherwise. Implemented by {@code policy}, used by {@code
 * health}, {@code contracts}, {@code broker} and every front. Start with {@link
 * bitternpulley.routing.Router}.
 */
package bitternpulley.routing;
