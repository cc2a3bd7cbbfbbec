package bitternpulley.trace;

import bitternpulley.broker.AttemptId;
import bitternpulley.broker.Effect;
import bitternpulley.broker.EffectHandler;
import bitternpulley.broker.Event;
import bitternpulley.contracts.AdmissionDecision;
import bitternpulley.contracts.UsageCharge;
import bitternpulley.leases.LeaseMessage;
import bitternpulley.membership.GossipMessage;
import bitternpulley.membership.GossipUpdate;
import bitternpulley.membership.MemberMetadata;
import bitternpulley.membership.MemberPayload;
import bitternpulley.membership.MembershipAction;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Adds the effects of one instance at one time to a digest. The words of the lines are fixed, so
 * that renamed classes, fields and constants do not change the digest.
 */
final class EffectDigestWriter implements EffectHandler {
  private static final String ABSENT = "-";

  private final TraceDigest digest;
  private final int instance;
  private final double now;

  EffectDigestWriter(TraceDigest digest, int instance, double now) {
    this.digest = digest;
    this.instance = instance;
    this.now = now;
  }

  private void addLine(Object... words) {
    Object[] line = new Object[words.length + 2];
    line[0] = now;
    line[1] = instance;
    System.arraycopy(words, 0, line, 2, words.length);
    digest.add(line);
  }

  @Override
  public void onStartAttempt(Effect.StartAttempt effect) {
    addLine(
        "start",
        id(effect.id()),
        effect.request().id(),
        effect.partIndex(),
        effect.server(),
        effect.timeout(),
        effect.sendBy());
  }

  @Override
  public void onStartCall(Effect.StartCall effect) {
    addLine("together", effect.attempts().size());
    effect.attempts().forEach(this::onStartAttempt);
  }

  @Override
  public void onCancelAttempt(Effect.CancelAttempt effect) {
    addLine("cancel", id(effect.id()), effect.request().id(), effect.server());
  }

  @Override
  public void onCancelUnsent(Effect.CancelUnsent effect) {
    addLine("unsend", id(effect.id()), effect.request().id());
  }

  @Override
  public void onCancelUnsentTo(Effect.CancelUnsentTo effect) {
    addLine("unsend-all", effect.server());
  }

  @Override
  public void onReply(Effect.Reply effect) {
    long request = effect.request().id();
    Effect.Answer answer = effect.answer();
    if (answer instanceof Effect.Answer.Answered answered) {
      addLine(
          "answered",
          request,
          answered.complete(),
          new TreeMap<>(answered.values()).keySet(),
          missing(answered.missing()));
    } else if (answer instanceof Effect.Answer.Rejected rejected) {
      addLine(
          "refused",
          request,
          rejected.retryAfter(),
          finalState(rejected.finalState()),
          rejected.contract() == null ? ABSENT : decision(rejected.contract()));
    } else if (answer instanceof Effect.Answer.Failed failed) {
      addLine("failed", request, finalState(failed.finalState()));
    } else {
      addLine("faulty", request);
    }
  }

  @Override
  public void onScheduleEvent(Effect.ScheduleEvent effect) {
    addLine("wake", effect.time(), wakeEvent(effect.event()));
  }

  @Override
  public void onCloseIdleConnections(Effect.CloseIdleConnections effect) {
    addLine("close", effect.server());
  }

  @Override
  public void onPersistOverride(Effect.PersistOverride effect) {
    addLine("keep", effect.command().server(), effect.command().enabled());
  }

  @Override
  public void onRejectCommand(Effect.RejectCommand effect) {
    addLine("no-such-server");
  }

  @Override
  public void onQuiesce(Effect.Quiesce effect) {
    addLine("quiesce", effect.enabled());
  }

  @Override
  public void onAdmissionDecided(Effect.AdmissionDecided effect) {
    addLine("judged", effect.requestId(), decision(effect.decision()));
  }

  @Override
  public void onChargeSettled(Effect.ChargeSettled effect) {
    UsageCharge charge = effect.charge();
    addLine("settled", charge.team(), charge.estimatedWork(), charge.measuredWork());
  }

  @Override
  public void onSendGossip(Effect.SendGossip effect) {
    addLine("gossip", effect.to(), gossip(effect.message()));
  }

  @Override
  public void onSendLeaseMessage(Effect.SendLeaseMessage effect) {
    addLine("lease", effect.to(), lease(effect.message()));
  }

  @Override
  public void onWarnOfIgnoredMember(Effect.WarnOfIgnoredMember effect) {
    MembershipAction.MemberIgnored member = effect.member();
    addLine("ignored", member.number(), member.recordedEpoch(), member.reportedEpoch());
  }

  @Override
  public void onLog(Effect.Log effect) {
    addLine("log");
  }

  private static String gossip(GossipMessage message) {
    String line =
        joined(
            position(message.kind()),
            message.from(),
            message.epoch(),
            message.incarnation(),
            message.sequence(),
            message.target(),
            message.viewDigest(),
            message.payloadDigest());
    StringBuilder updates = new StringBuilder(line);
    message.updates().forEach(update -> updates.append(" [").append(gossip(update)).append(']'));
    return updates.toString();
  }

  private static String gossip(GossipUpdate update) {
    return joined(
        update.number(),
        update.epoch(),
        update.incarnation(),
        position(update.state()),
        update.accuser(),
        metadata(update.metadata()),
        payload(update.payload()));
  }

  private static String metadata(MemberMetadata metadata) {
    return metadata == null
        ? ABSENT
        : metadata.name() + metadata.zone() + metadata.region() + metadata.build();
  }

  private static String payload(MemberPayload payload) {
    return payload == null
        ? ABSENT
        : payload.sequenceNumber() + ":" + Arrays.hashCode(payload.bytes());
  }

  private static String lease(LeaseMessage message) {
    if (message instanceof LeaseMessage.LeaseRequest request) {
      return "request " + request.from() + " " + request.epoch() + " " + request.sequence();
    }
    LeaseMessage.LeaseGrant grant = (LeaseMessage.LeaseGrant) message;
    return String.join(
        " ",
        "grant",
        String.valueOf(grant.from()),
        String.valueOf(grant.sequence()),
        Double.toHexString(grant.delay()),
        grant.holders().toString());
  }

  private static String decision(AdmissionDecision decision) {
    if (decision instanceof AdmissionDecision.Rejected rejected) {
      return String.join(
          " ",
          "refused",
          rejected.team(),
          String.valueOf(rejected.version()),
          String.valueOf(position(rejected.limit())),
          Double.toHexString(rejected.retryAfter()));
    }
    UsageCharge charge = (UsageCharge) decision;
    return String.join(
        " ",
        "admitted",
        charge.team(),
        String.valueOf(charge.version()),
        String.valueOf(position(charge.basis())),
        Double.toHexString(charge.estimatedWork()));
  }

  private static String finalState(Effect.Answer.FinalState state) {
    return state.timedOut() + " " + state.mayHaveRun() + " " + missing(state.missing());
  }

  private static String missing(Map<Integer, Effect.Answer.MissingPart> missing) {
    StringBuilder line = new StringBuilder();
    new TreeMap<>(missing)
        .forEach(
            (part, state) -> {
              int outcome = state.outcome() == null ? -1 : position(state.outcome());
              line.append(part).append('=').append(outcome);
              line.append('@').append(state.server()).append(',');
            });
    return line.toString();
  }

  private static String wakeEvent(Event event) {
    if (event instanceof Event.AttemptTimedOut timeout) {
      return "overdue "
          + id(timeout.attempt())
          + " "
          + timeout.firstPart()
          + " "
          + timeout.partCount();
    }
    if (event instanceof Event.RequestDeadlineExpired deadline) {
      return "expired " + deadline.requestId();
    }
    return "alarm";
  }

  private static String id(AttemptId id) {
    return id.part() + "/" + id.number();
  }

  private static String joined(Object... words) {
    return String.join("/", Arrays.stream(words).map(String::valueOf).toList());
  }

  /** The position of a constant in its enum, which does not change when the constant is renamed. */
  private static <T extends Enum<T>> int position(T constant) {
    return List.of(constant.getDeclaringClass().getEnumConstants()).indexOf(constant);
  }
}
