/**
 * The routing policy: which server receives a part, when an attempt is late, retried or hedged, and
 * when a query is answered, rejected or failed. It implements {@link bitternpulley.routing.Router}:
 * events in, {@link bitternpulley.routing.Router.Actions} out.
 *
 * <p>The policy knows no wire protocol, reads no clock, starts no thread and never blocks: the time
 * comes with each event, and the same events and seed give the same actions. The classes that
 * decide are separate from the state that they decide on ({@code QueryState}, {@code PartState},
 * {@code AttemptState}, {@code TrackedServer}), and each state class enforces its own transitions.
 *
 * <p>The policy is called by {@code broker} and by the adapter that plays recorded or generated
 * load. Start with {@link bitternpulley.policy.RoutingPolicy} for the order of events and with
 * {@code WaitTimePolicy} for the published model of optimal wait time.
 */
package bitternpulley.policy;
