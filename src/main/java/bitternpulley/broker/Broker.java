package bitternpulley.broker;

import bitternpulley.leases.Leases;
import bitternpulley.membership.Membership;
import bitternpulley.routing.Router;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;

/**
 * Feeds events to the {@link Reducer} one by one and has its effects carried out. Not thread-safe:
 * everything happens on the event loop's thread.
 */
public final class Broker {
  private static final System.Logger LOG = System.getLogger(Broker.class.getName());

  /** Runs tasks later, on the broker's thread. */
  public interface Timer {
    /** Runs a task after a delay in ms. */
    void after(double ms, Runnable task);
  }

  private final Reducer reducer;
  private final Clock clock;
  private final EffectPerformer performer;
  private final Queue<Event> waiting = new ArrayDeque<>();
  private boolean processing;
  private long lastId;

  /** Creates a broker; the collaborators that need it themselves are added afterwards. */
  public Broker(Reducer reducer, Clock clock, Timer timer) {
    this.reducer = reducer;
    this.clock = clock;
    this.performer = new EffectPerformer(clock, timer, this::submit);
  }

  /** Adds a dialect, which from now on receives the effects that concern a server as a whole. */
  public void addDialect(Dialect dialect) {
    performer.addDialect(dialect);
  }

  /** Sets what carries out the effects of operator commands. */
  public void operatorCommands(OperatorCommands operators) {
    performer.setOperatorCommands(operators);
  }

  /** Sets what sends messages to other aggregators. */
  public void gossipTransport(GossipTransport transport) {
    performer.setGossipTransport(transport);
  }

  /** The membership of the fleet; empty where it is off or has not started. */
  public Optional<Membership> membership() {
    return reducer.membership();
  }

  /** The leases of this instance; empty where its quota is the one configured. */
  public Optional<Leases> leases() {
    return reducer.leases();
  }

  /** Number of datagrams of other aggregators so far that were dropped for their checksum. */
  public long corruptedDatagrams() {
    return performer.corruptedDatagrams();
  }

  /** Returns a new id for a request. */
  public long nextId() {
    return ++lastId;
  }

  /** The number of requests without a final answer. */
  public int pendingRequests() {
    return reducer.pendingRequests();
  }

  /** The time of the core's clock, in ms. */
  public double now() {
    return clock.now();
  }

  /** The accounts of teams under contract. */
  public ContractAccounting contractAccounting() {
    return reducer.contractAccounting();
  }

  /** Handles an event; one that is submitted while another is handled waits for its turn. */
  public void submit(Event event) {
    waiting.add(event);
    if (processing) {
      return;
    }
    processing = true;
    try {
      while (!waiting.isEmpty()) {
        reducer.reduce(waiting.poll(), clock.now()).forEach(this::perform);
      }
    } finally {
      processing = false;
    }
  }

  private void perform(Effect effect) {
    try {
      effect.dispatch(performer);
    } catch (RuntimeException failure) {
      // A fault in one dialect must not keep the effects behind it from being carried out.
      LOG.log(Level.ERROR, "Could not carry out " + effect, failure);
      compensate(effect);
    }
  }

  /**
   * Ends what would else never end because an effect failed: an attempt counts as reset, its
   * cancellation as done, and a client whose answer cannot be written is sent a failure.
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
      Effect.Answer failed = new Effect.Answer.Failed(Effect.Answer.Ending.NOTHING_SENT);
      perform(new Effect.Reply(reply.request(), failed));
    }
  }
}
