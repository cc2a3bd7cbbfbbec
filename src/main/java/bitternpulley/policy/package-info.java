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
 * <p>{@link bitternpulley.policy.RoutingPolicy} applies each event to the state and then reviews
 * the queries that it affects. {@code LoadShedder} admits or rejects new queries. {@code
 * AttemptDispatcher} sends the parts of admitted queries to servers, as {@code ReplicaSelector},
 * {@code RetryPolicy} and {@code HedgingPolicy} decide. {@code OutcomeRecorder} updates the servers
 * from the outcomes of attempts, and {@code OutlierDetector} finds those that fail or do not
 * respond. {@code WaitTimePolicy} decides how long to wait for missing parts, and {@code
 * QueryCompletion} ends the query.
 *
 * <p>The policy is called by {@code broker} and by the adapter that plays recorded or generated
 * load. Start with {@link bitternpulley.policy.RoutingPolicy} for the order of events and with
 * {@code WaitTimePolicy} for the published model of optimal wait time.
 */
package bitternpulley.policy;
