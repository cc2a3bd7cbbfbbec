/**
 * The types that the routing policy and its callers share: {@link bitternpulley.routing.Router}
 * with its events and actions, and {@link bitternpulley.routing.Settings}, the settings of an
 * instance.
 *
 * <p>This package makes no decisions. All data types are immutable; times are ms of the caller's
 * clock, and shares refer to a query's weight unless stated otherwise. Implemented by {@code
 * policy}, used by {@code health}, {@code contracts}, {@code broker}, {@code config} and every
 * protocol front end. Start with {@link bitternpulley.routing.Router}.
 */
package bitternpulley.routing;
