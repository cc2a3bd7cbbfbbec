package bitternpulley.broker;

import bitternpulley.leases.Leases;
import bitternpulley.membership.Membership;
import bitternpulley.routing.Router;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Feeds events to the reducer one by one and has its effects carried out. Lives on one thread. */
public final class Broker {
  private static final System.Logger LOG = System.getLogger(Broker.class.getName());

  /** Runs a task after so many milliseconds, on the broker's thread. */
  public interface Timer {
    void after(double ms, Runnable task);
  }

  private final Reducer reducer;
  private final Clock clock;
  private final Timer timer;
  private final List<Dialect> dialects = new ArrayList<>();
  private final ArrayDeque<Event> waiting = new ArrayDeque<>();
  private OperatorCommands operatorCommands;
  private GossipTransport gossipTransport;
  private boolean busy;
  private long lastId;

  public Broker(Reducer reducer, Clock clock, Timer timer) {
    this.reducer = reducer;
    this.clock = clock;
    this.timer = timer;
  }

  /** Adds a wire, which from now on hears of servers whose idle connections are to be closed. */
  public void addDialect(Dialect dialect) {
    dialects.add(dialect);
  }

  /** Says who carries out what operators order. */
  public void operatorCommands(OperatorCommands operators) {
    this.operatorCommands = operators;
  }

  /** Says who carries what other aggregators are told. */
  public void gossipTransport(GossipTransport peers) {
    this.gossipTransport = peers;
  }

  /** Who is here, as this instance holds it; empty where membership is off or has not begun. */
  public Optional<Membership> membership() {
    return reducer.membership();
  }

  /** This instance's leases; empty where its part goes by the number configured. */
  public Optional<Leases> leases() {
    return reducer.leases();
  }

  /** A fresh id for a request. */
  public long nextId() {
    return ++lastId;
  }

  /** Requests without a final answer. */
  public int pendingRequests() {
    return reducer.pendingRequests();
  }

  /** The time that the core goes by, ms. */
  public double now() {
    return clock.now();
  }

  /** How the teams' accounts stand. */
  public ContractAccounting contractAccounting() {
    return reducer.contractAccounting();
  }

  /** Takes an event; one that comes while another is dealt with waits for its turn. */
  public void submit(Event event) {
    waiting.add(event);
    if (busy) {
      return;
    }
    busy = true;
    try {
      while (!waiting.isEmpty()) {
        reducer.reduce(waiting.poll(), clock.now()).forEach(this::perform);
      }
    } finally {
      busy = false;
    }
  }

  private void perform(Effect effect) {
    try {
      if (effect instanceof Effect.StartAttempt e) {
        e.request().dialect().start(e);
      } else if (effect instanceof Effect.StartCall e) {
        e.attempts().get(0).request().dialect().startCall(e.attempts());
      } else if (effect instanceof Effect.CancelAttempt e) {
        e.request().dialect().cancel(e);
      } else if (effect instanceof Effect.CancelUnsent e) {
        e.request().dialect().cancelUnsent(e);
      } else if (effect instanceof Effect.Reply e) {
        e.request().dialect().reply(e);
      } else if (effect instanceof Effect.WakeAt e) {
        timer.after(e.time() - clock.now(), () -> submit(e.event()));
      } else if (effect instanceof Effect.CloseIdleConnections e) {
        dialects.forEach(d -> d.closeIdleConnections(e.server()));
      } else if (effect instanceof Effect.CancelUnsentTo e) {
        dialects.forEach(d -> d.cancelUnsentTo(e.server()));
      } else if (effect instanceof Effect.PersistOverride e) {
        operatorCommands.persist(e);
      } else if (effect instanceof Effect.RejectCommand e) {
        operatorCommands.reject(e);
      } else if (effect instanceof Effect.Quiesce e) {
        operatorCommands.quiesce(e.on());
      } else if (effect instanceof Effect.AdmissionDecided e) {
        LOG.log(Level.DEBUG, () -> ContractLog.judged(e));
      } else if (effect instanceof Effect.ChargeSettled e) {
        LOG.log(Level.DEBUG, () -> ContractLog.settled(e));
      } else if (effect instanceof Effect.SendGossip e) {
        gossipTransport.send(e);
      } else if (effect instanceof Effect.SendLeaseMessage e) {
        gossipTransport.send(e);
      } else if (effect instanceof Effect.Log e) {
        LOG.log(Level.INFO, e.text());
      }
    } catch (RuntimeException failure) {
      // Guards against one wire's fault keeping the effects behind it from being carried out.
      LOG.log(Level.ERROR, "could not carry out " + effect, failure);
      makeGood(effect);
    }
  }

  /**
   * Guards against attempts that never end and clients that never hear, since a wire failed on the
   * way to them.
   */
  private void makeGood(Effect effect) {
    if (effect instanceof Effect.StartCall e) {
      e.attempts().forEach(this::makeGood);
    } else if (effect instanceof Effect.StartAttempt e) {
      perform(new Effect.CancelAttempt(e.id(), e.request(), e.server()));
      submit(new Event.AttemptEnded(e.id(), Router.Outcome.RESET, null));
    } else if (effect instanceof Effect.CancelAttempt e) {
      submit(new Event.AttemptCancelled(e.id()));
    } else if (effect instanceof Effect.Reply e && !(e.answer() instanceof Effect.Answer.Failed)) {
      perform(
          new Effect.Reply(
              e.request(), new Effect.Answer.Failed(Effect.Answer.Ending.NOTHING_SENT)));
    }
  }
}
