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
  private Operators operators;
  private PeerWire peers;
  private boolean busy;
  private long lastId;

  public Broker(Reducer reducer, Clock clock, Timer timer) {
    this.reducer = reducer;
    this.clock = clock;
    this.timer = timer;
  }

  /** Adds a wire, which from now on hears of servers whose idle connections are to be closed. */
  public void add(Dialect dialect) {
    dialects.add(dialect);
  }

  /** Says who carries out what operators order. */
  public void operators(Operators operators) {
    this.operators = operators;
  }

  /** Says who carries what other aggregators are told. */
  public void peers(PeerWire peers) {
    this.peers = peers;
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
  public int open() {
    return reducer.open();
  }

  /** The time that the core goes by, ms. */
  public double now() {
    return clock.now();
  }

  /** How the teams' accounts stand. */
  public Accounts accounts() {
    return reducer.accounts();
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
      if (effect instanceof Effect.Start e) {
        e.request().dialect().start(e);
      } else if (effect instanceof Effect.StartTogether e) {
        e.starts().get(0).request().dialect().startTogether(e.starts());
      } else if (effect instanceof Effect.Abandon e) {
        e.request().dialect().abandon(e);
      } else if (effect instanceof Effect.TakeBack e) {
        e.request().dialect().takeBack(e);
      } else if (effect instanceof Effect.Reply e) {
        e.request().dialect().reply(e);
      } else if (effect instanceof Effect.WakeAt e) {
        timer.after(e.time() - clock.now(), () -> submit(e.event()));
      } else if (effect instanceof Effect.CloseIdle e) {
        dialects.forEach(d -> d.closeIdle(e.server()));
      } else if (effect instanceof Effect.Withdraw e) {
        dialects.forEach(d -> d.withdraw(e.server()));
      } else if (effect instanceof Effect.Keep e) {
        operators.keep(e);
      } else if (effect instanceof Effect.Turn e) {
        operators.refuse(e);
      } else if (effect instanceof Effect.Quiesce e) {
        operators.quiesce(e.on());
      } else if (effect instanceof Effect.Judged e) {
        LOG.log(Level.DEBUG, () -> ContractLog.judged(e));
      } else if (effect instanceof Effect.Settled e) {
        LOG.log(Level.DEBUG, () -> ContractLog.settled(e));
      } else if (effect instanceof Effect.Tell e) {
        peers.tell(e);
      } else if (effect instanceof Effect.TellOfLease e) {
        peers.tell(e);
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
    if (effect instanceof Effect.StartTogether e) {
      e.starts().forEach(this::makeGood);
    } else if (effect instanceof Effect.Start e) {
      perform(new Effect.Abandon(e.id(), e.request(), e.server()));
      submit(new Event.Ended(e.id(), Router.Outcome.RESET, null));
    } else if (effect instanceof Effect.Abandon e) {
      submit(new Event.Abandoned(e.id()));
    } else if (effect instanceof Effect.Reply e && !(e.answer() instanceof Effect.Answer.Failed)) {
      perform(
          new Effect.Reply(e.request(), new Effect.Answer.Failed(Effect.Answer.Ending.UNTRIED)));
    }
  }
}
