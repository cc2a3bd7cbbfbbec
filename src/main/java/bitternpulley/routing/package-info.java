/**
 * The types that the decision module and its callers share: {@link bitternpulley.routing.Router},
 * its events and actions, and {@link bitternpulley.routing.Settings}, what an instance is told at
 * its start.
 *
 * <p>Nothing is decided here. Times are ms of the caller's clock; fractions are of a query's
 * weight. Used by {@code policy}, {@code health}, {@code contracts}, {@code broker} and every
 * front. Start with {@link bitternpulley.routing.Router}.
 */
package bitternpulley.routing;
