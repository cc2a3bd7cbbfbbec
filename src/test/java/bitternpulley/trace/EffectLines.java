package bitternpulley.trace;

import bitternpulley.broker.AttemptId;
import bitternpulley.broker.Effect;
import bitternpulley.broker.Event;
import bitternpulley.contracts.AdmissionDecision;
import bitternpulley.contracts.UsageCharge;
import bitternpulley.leases.LeaseMessage;
import bitternpulley.membership.GossipMessage;
import bitternpulley.membership.GossipUpdate;
import bitternpulley.routing.Router;
import java.util.Map;
import java.util.TreeMap;

/** Writes effects to a digest in words that are independent of the names in the code. */
final class EffectLines {
  private EffectLines() {}

  static void add(TraceDigest digest, int instance, double now, Effect effect) {
    if (effect instanceof Effect.StartCall e) {
      digest.add(now, instance, "together", e.attempts().size());
      e.attempts().forEach(s -> add(digest, instance, now, s));
    } else if (effect instanceof Effect.StartAttempt e) {
      digest.add(
          now,
          instance,
          "start",
          id(e.id()),
          e.request().id(),
          e.partIndex(),
          e.server(),
          e.timeout(),
          e.sendBy());
    } else if (effect instanceof Effect.CancelAttempt e) {
      digest.add(now, instance, "cancel", id(e.id()), e.request().id(), e.server());
    } else if (effect instanceof Effect.CancelUnsent e) {
      digest.add(now, instance, "unsend", id(e.id()), e.request().id());
    } else if (effect instanceof Effect.CancelUnsentTo e) {
      digest.add(now, instance, "unsend-all", e.server());
    } else if (effect instanceof Effect.Reply e) {
      reply(digest, instance, now, e);
    } else if (effect instanceof Effect.WakeAt e) {
      digest.add(now, instance, "wake", e.time(), wake(e.event()));
    } else if (effect instanceof Effect.CloseIdleConnections e) {
      digest.add(now, instance, "close", e.server());
    } else if (effect instanceof Effect.PersistOverride e) {
      digest.add(now, instance, "keep", e.command().server(), e.command().enabled());
    } else if (effect instanceof Effect.RejectCommand e) {
      digest.add(now, instance, "no-such-server");
    } else if (effect instanceof Effect.Quiesce e) {
      digest.add(now, instance, "quiesce", e.enabled());
    } else if (effect instanceof Effect.AdmissionDecided e) {
      digest.add(now, instance, "judged", e.requestId(), verdict(e.decision()));
    } else if (effect instanceof Effect.ChargeSettled e) {
      digest.add(
          now, instance, "settled", e.charge().team(), e.charge().booked(), e.charge().used());
    } else if (effect instanceof Effect.SendGossip e) {
      digest.add(now, instance, "gossip", e.to(), gossip(e.message()));
    } else if (effect instanceof Effect.SendLeaseMessage e) {
      digest.add(now, instance, "lease", e.to(), lease(e.message()));
    } else if (effect instanceof Effect.Log) {
      digest.add(now, instance, "log");
    } else {
      throw new AssertionError("no line for " + effect);
    }
  }

  /** A membership message by its numbers. */
  static String gossip(GossipMessage m) {
    StringBuilder line =
        new StringBuilder(
            m.kind().ordinal()
                + "/"
                + m.from()
                + "/"
                + m.epoch()
                + "/"
                + m.incarnation()
                + "/"
                + m.sequence()
                + "/"
                + m.target()
                + "/"
                + m.viewDigest()
                + "/"
                + m.payloadDigest());
    for (GossipUpdate r : m.updates()) {
      line.append(" [")
          .append(r.number())
          .append('/')
          .append(r.epoch())
          .append('/')
          .append(r.incarnation())
          .append('/')
          .append(r.state().ordinal())
          .append('/')
          .append(r.accuser())
          .append('/')
          .append(
              r.metadata() == null
                  ? "-"
                  : r.metadata().name()
                      + r.metadata().zone()
                      + r.metadata().region()
                      + r.metadata().build())
          .append('/')
          .append(
              r.payload() == null
                  ? "-"
                  : r.payload().count() + ":" + java.util.Arrays.hashCode(r.payload().bytes()))
          .append(']');
    }
    return line.toString();
  }

  private static String lease(LeaseMessage message) {
    if (message instanceof LeaseMessage.LeaseRequest a) {
      return "request " + a.from() + " " + a.epoch() + " " + a.sequence();
    }
    LeaseMessage.LeaseGrant g = (LeaseMessage.LeaseGrant) message;
    return "grant "
        + g.from()
        + " "
        + g.sequence()
        + " "
        + Double.toHexString(g.delay())
        + " "
        + g.holders();
  }

  private static String verdict(AdmissionDecision verdict) {
    if (verdict instanceof AdmissionDecision.Rejected no) {
      return "refused "
          + no.team()
          + " "
          + no.version()
          + " "
          + no.limit().ordinal()
          + " "
          + Double.toHexString(no.retryAfter());
    }
    UsageCharge c = (UsageCharge) verdict;
    return "admitted "
        + c.team()
        + " "
        + c.version()
        + " "
        + c.basis().ordinal()
        + " "
        + Double.toHexString(c.booked());
  }

  private static void reply(TraceDigest digest, int instance, double now, Effect.Reply e) {
    long request = e.request().id();
    if (e.answer() instanceof Effect.Answer.Answered a) {
      digest.add(
          now,
          instance,
          "answered",
          request,
          a.complete(),
          new TreeMap<>(a.values()).keySet(),
          missing(a.missing()));
    } else if (e.answer() instanceof Effect.Answer.Rejected r) {
      digest.add(
          now,
          instance,
          "refused",
          request,
          r.retryAfter(),
          ending(r.ending()),
          r.contract() == null ? "-" : verdict(r.contract()));
    } else if (e.answer() instanceof Effect.Answer.Failed f) {
      digest.add(now, instance, "failed", request, ending(f.ending()));
    } else {
      digest.add(now, instance, "faulty", request);
    }
  }

  private static String ending(Effect.Answer.Ending e) {
    return e.late() + " " + e.mayHaveRun() + " " + missing(e.missing());
  }

  private static String missing(Map<Integer, Effect.Answer.MissingPart> missing) {
    StringBuilder line = new StringBuilder();
    new TreeMap<>(missing)
        .forEach(
            (part, m) ->
                line.append(part)
                    .append('=')
                    .append(outcome(m.outcome()))
                    .append('@')
                    .append(m.server())
                    .append(','));
    return line.toString();
  }

  private static int outcome(Router.Outcome outcome) {
    return outcome == null ? -1 : outcome.ordinal();
  }

  private static String wake(Event event) {
    if (event instanceof Event.AttemptTimedOut o) {
      return "overdue " + id(o.attempt()) + " " + o.firstPart() + " " + o.partCount();
    }
    if (event instanceof Event.RequestDeadlineExpired t) {
      return "expired " + t.requestId();
    }
    return "alarm";
  }

  private static String id(AttemptId id) {
    return id.part() + "/" + id.number();
  }
}
