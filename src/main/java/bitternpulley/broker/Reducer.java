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
 * The state machine of the core: takes events one at a time and returns the effects to carry out.
 * Each event goes to the handler that is responsible for it, which changes state and drives the
 * routing policy; {@link PolicyActionHandler} turns the policy's actions into effects.
 *
 * <p>Not thread-safe; reads no clock and does no I/O, so that tests can drive it in virtual time.
 */
public final class Reducer {
  private static final System.Logger LOG = System.getLogger(Reducer.class.getName());

  private final ReductionContext context;
  private final PendingRequests pending = new PendingRequests();
  private final ContractAccounting accounting;
  private final MembershipHandler membershipHandler;
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
    // The reducer keeps at most one attempt of a part in flight. If the policy used hedged
    // requests, these would use up the part's attempts without being sent while the first attempt
    // is unanswered.
    this(
        settings, now, actions -> new RoutingPolicy(settings.withoutHedging(), seed, now, actions));
  }

  /** Creates a reducer that drives the router of the given factory. */
  Reducer(Settings settings, double now, Function<Router.Actions, Router> routerFactory) {
    context = new ReductionContext(now);
    accounting = new ContractAccounting(settings, context);
    membershipHandler = new MembershipHandler(context);
    maxPartsPerCall = settings.layout().maxPartsPerCall();
    AttemptControl attemptControl = new AttemptControl(context);
    RequestCompletion completion =
        new RequestCompletion(settings.limits(), context, pending, accounting);
    PolicyActionHandler policyActions =
        new PolicyActionHandler(settings, context, pending, attemptControl, completion, accounting);
    policy = new PolicyDriver(routerFactory.apply(policyActions), policyActions, context);
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
            requests,
            attempts,
            endpointList,
            operatorCommands,
            accounting,
            membershipHandler,
            policy);
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

  /** The membership of the fleet; empty if it is off or has not started. */
  public Optional<Membership> membership() {
    return membershipHandler.membership();
  }

  /** The leases of this instance; empty if this instance uses its configured quota. */
  public Optional<Leases> leases() {
    return membershipHandler.leases();
  }

  /**
   * Handles one event and the events that follow from it.
   *
   * @param time the time in ms; if it is before the time of the previous event, the latter is used
   * @return the effects to carry out, in order
   */
  public List<Effect> reduce(Event event, double time) {
    context.begin(event, time);
    for (Event next = context.nextEvent(); next != null; next = context.nextEvent()) {
      handle(next);
    }
    return CallBatcher.join(context.effects(), maxPartsPerCall);
  }

  private void handle(Event event) {
    try {
      event.dispatch(dispatcher);
      policy.completeBatch();
    } catch (RuntimeException | Error failure) {
      // A failure of the routing policy must neither lose requests nor end the process.
      LOG.log(Level.ERROR, "Routing policy failed while handling " + event, failure);
      recovery.recover(event);
    }
  }
}
