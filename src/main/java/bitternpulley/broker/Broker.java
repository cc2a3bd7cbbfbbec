package bitternpulley.broker;

import bitternpulley.leases.Leases;
import bitternpulley.membership.Membership;
import bitternpulley.routing.Router;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;

/**
 * Feeds events to the {@link Reducer} one at a time and carries out the resulting effects. Not
 * thread-safe: all calls are made on the event loop's thread.
 */
public final class Broker {
  private static final System.Logger LOG = System.getLogger(Broker.class.getName());

  /** Runs tasks later, on the broker's thread. */
  public interface Timer {
    /** Runs a task after a delay in ms. */
    void schedule(double ms, Runnable task);
  }

  private final Reducer reducer;
  private final Clock clock;
  private final EffectPerformer performer;
  private final Queue<Event> queuedEvents = new ArrayDeque<>();
  private boolean processing;
  private long lastRequestId;

  /** Creates a broker. Collaborators that themselves need the broker are added afterwards. */
  public Broker(Reducer reducer, Clock clock, Timer timer) {
    this.reducer = reducer;
    this.clock = clock;
    this.performer = new EffectPerformer(clock, timer, this::submit);
  }

  /** Adds a protocol adapter that receives the effects that concern a server as a whole. */
  public void addProtocolAdapter(ProtocolAdapter adapter) {
    performer.addProtocolAdapter(adapter);
  }

  /** Sets the component that carries out the effects of operator commands. */
  public void setOperatorCommands(OperatorCommands commands) {
    performer.setOperatorCommands(commands);
  }

  /** Sets the transport for messages to other aggregators. */
  public void setGossipTransport(GossipTransport transport) {
    performer.setGossipTransport(transport);
  }

  /** The membership of the fleet; empty if it is off or has not started. */
  public Optional<Membership> membership() {
    return reducer.membership();
  }

  /** The leases of this instance; empty if this instance uses its configured quota. */
  public Optional<Leases> leases() {
    return reducer.leases();
  }

  /** Number of datagrams from other aggregators that were dropped because of a wrong checksum. */
  public long corruptedDatagrams() {
    return performer.corruptedDatagrams();
  }

  /** Returns a new id for a request. */
  public long nextRequestId() {
    return ++lastRequestId;
  }

  /** The number of requests without a final answer. */
  public int pendingRequests() {
    return reducer.pendingRequests();
  }

  /** The current time of the broker's clock, in ms. */
  public double now() {
    return clock.now();
  }

  /** The accounts of teams under contract. */
  public ContractAccounting contractAccounting() {
    return reducer.contractAccounting();
  }

  /** Handles an event. An event that is submitted while another one is handled is queued. */
  public void submit(Event event) {
    queuedEvents.add(event);
    if (processing) {
      return;
    }
    processing = true;
    try {
      while (!queuedEvents.isEmpty()) {
        reducer.reduce(queuedEvents.poll(), clock.now()).forEach(this::perform);
      }
    } finally {
      processing = false;
    }
  }

  private void perform(Effect effect) {
    try {
      effect.dispatch(performer);
    } catch (RuntimeException | Error failure) {
      // A failure in one protocol adapter must not prevent the remaining effects from being carried
      // out.
      LOG.log(Level.ERROR, "Could not carry out " + effect, failure);
      compensate(effect);
    }
  }

  /**
   * Completes what would otherwise never end after an effect failed: an attempt counts as reset, a
   * cancellation counts as done, and if an answer cannot be written, the client is sent a failure.
   */
  private void compensate(Effect effect) {
    if (effect instanceof Effect.StartCall call) {
      call.attempts().forEach(this::compensate);
    } else if (effect instanceof Effect.StartAttempt start) {
      perform(new Effect.CancelAttempt(start.id(), start.request(), start.server()));
      submit(new Event.AttemptEnded(start.id(), Router.Outcome.RESET, null));
    } else if (effect instanceof Effect.CancelAttempt cancel) {
      submit(new Event.AttemptCancelled(cancel.id()));
    } else if (effect instanceof Effect.Reply reply
        && !(reply.answer() instanceof Effect.Answer.Failed)) {
      Effect.Answer failed = new Effect.Answer.Failed(Effect.Answer.FinalState.NOTHING_SENT);
      perform(new Effect.Reply(reply.request(), failed));
    }
  }
}
