package bitternpulley.broker;

import bitternpulley.leases.Leases;
import bitternpulley.membership.Membership;
import bitternpulley.policy.RoutingPolicy;
import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/**
 * The state machine of the core: takes events one by one and returns the effects to carry out. It
 * passes each event to the handler of its concern, which changes state and drives the routing
 * policy; the policy's actions become effects by {@link EffectRecorder}.
 *
 * <p>Not thread-safe; reads no clock and does no I/O, so that tests can drive it in virtual time.
 */
public final class Reducer {
  private static final System.Logger LOG = System.getLogger(Reducer.class.getName());

  private final ReductionContext context;
  private final PendingRequests pending = new PendingRequests();
  private final ContractAccounting accounting;
  private final ClusterState cluster;
  private final PolicyDriver policy;
  private final EventDispatcher dispatcher;
  private final PolicyFailureRecovery recovery;
  private final int maxPartsPerCall;

  /**
   * Creates a reducer that drives a {@link RoutingPolicy}.
   *
   * @param seed seed of the policy's random choices
   * @param now the time in ms
   */
  public Reducer(Settings settings, long seed, double now) {
    // At most one attempt of a part is in flight here. A policy that counted on hedged requests
    // would use up a part's attempts on some that are never sent, while the first is unanswered.
    this(
        settings, now, actions -> new RoutingPolicy(settings.withoutHedging(), seed, now, actions));
  }

  /** Creates a reducer that drives another router. */
  Reducer(Settings settings, double now, Function<Router.Actions, Router> routerFactory) {
    context = new ReductionContext(now);
    accounting = new ContractAccounting(settings, context);
    cluster = new ClusterState(context);
    maxPartsPerCall = settings.layout().maxPartsPerCall();
    AttemptControl attemptControl = new AttemptControl(context);
    RequestCompletion completion =
        new RequestCompletion(settings.limits(), context, pending, accounting);
    EffectRecorder recorder =
        new EffectRecorder(settings, context, pending, attemptControl, completion, accounting);
    policy = new PolicyDriver(routerFactory.apply(recorder), recorder, context);
    RequestHandler requests =
        new RequestHandler(context, pending, attemptControl, completion, accounting, policy);
    AttemptHandler attempts =
        new AttemptHandler(context, pending, attemptControl, completion, accounting, policy);
    ServerDirectory directory = new ServerDirectory();
    EndpointListHandler endpointList = new EndpointListHandler(context, pending, directory, policy);
    OperatorCommandHandler operatorCommands =
        new OperatorCommandHandler(context, directory, endpointList, policy);
    dispatcher =
        new EventDispatcher(
            requests, attempts, endpointList, operatorCommands, accounting, cluster, policy);
    recovery = new PolicyFailureRecovery(context, pending, requests);
  }

  /** The number of requests without a final answer. */
  public int pendingRequests() {
    return pending.requests().size();
  }

  /** The accounts of teams under contract. */
  public ContractAccounting contractAccounting() {
    return accounting;
  }

  /** The membership of the fleet; empty where it is off or has not started. */
  public Optional<Membership> membership() {
    return cluster.membership();
  }

  /** The leases of this instance; empty where its quota is the one configured. */
  public Optional<Leases> leases() {
    return cluster.leases();
  }

  /**
   * Handles one event, with the events that follow from it.
   *
   * @param at the time in ms; one before that of an earlier event counts as the latter
   * @return the effects to carry out, in order
   */
  public List<Effect> reduce(Event event, double at) {
    context.begin(event, at);
    for (Event next = context.nextEvent(); next != null; next = context.nextEvent()) {
      handle(next);
    }
    return CallBatcher.join(context.effects(), maxPartsPerCall);
  }

  private void handle(Event event) {
    try {
      event.dispatch(dispatcher);
      policy.completeBatch();
    } catch (RuntimeException failure) {
      // A fault in the routing policy must neither lose requests nor end the process.
      LOG.log(Level.ERROR, "Routing policy failed while handling " + event, failure);
      recovery.recover(event);
    }
  }
}
