package bitternpulley.broker;

import bitternpulley.membership.MembershipAction;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Carries out each effect by calling the collaborator that is responsible for it. */
final class EffectPerformer implements EffectHandler {
  private static final System.Logger LOG = System.getLogger(EffectPerformer.class.getName());

  private final Clock clock;
  private final Broker.Timer timer;
  private final Consumer<Event> submit;
  private final List<ProtocolAdapter> protocolAdapters = new ArrayList<>();
  private OperatorCommands operatorCommands;
  private GossipTransport gossipTransport;

  /**
   * Creates a performer.
   *
   * @param submit called with the event of each alarm that is due
   */
  EffectPerformer(Clock clock, Broker.Timer timer, Consumer<Event> submit) {
    this.clock = clock;
    this.timer = timer;
    this.submit = submit;
  }

  void addProtocolAdapter(ProtocolAdapter adapter) {
    protocolAdapters.add(adapter);
  }

  void setOperatorCommands(OperatorCommands commands) {
    operatorCommands = commands;
  }

  void setGossipTransport(GossipTransport transport) {
    gossipTransport = transport;
  }

  /** Number of datagrams dropped because of a wrong checksum; 0 without a transport. */
  long corruptedDatagrams() {
    return gossipTransport == null ? 0 : gossipTransport.corruptedDatagrams();
  }

  @Override
  public void onStartAttempt(Effect.StartAttempt effect) {
    effect.request().protocolAdapter().start(effect);
  }

  @Override
  public void onStartCall(Effect.StartCall effect) {
    effect.attempts().get(0).request().protocolAdapter().startCall(effect.attempts());
  }

  @Override
  public void onCancelAttempt(Effect.CancelAttempt effect) {
    effect.request().protocolAdapter().cancel(effect);
  }

  @Override
  public void onCancelUnsent(Effect.CancelUnsent effect) {
    effect.request().protocolAdapter().cancelUnsent(effect);
  }

  @Override
  public void onCancelUnsentTo(Effect.CancelUnsentTo effect) {
    protocolAdapters.forEach(adapter -> adapter.cancelUnsentTo(effect.server()));
  }

  @Override
  public void onReply(Effect.Reply effect) {
    effect.request().protocolAdapter().reply(effect);
  }

  @Override
  public void onScheduleEvent(Effect.ScheduleEvent effect) {
    timer.schedule(effect.time() - clock.now(), () -> submit.accept(effect.event()));
  }

  @Override
  public void onCloseIdleConnections(Effect.CloseIdleConnections effect) {
    protocolAdapters.forEach(adapter -> adapter.closeIdleConnections(effect.server()));
  }

  @Override
  public void onPersistOverride(Effect.PersistOverride effect) {
    operatorCommands.persist(effect);
  }

  @Override
  public void onRejectCommand(Effect.RejectCommand effect) {
    operatorCommands.reject(effect);
  }

  @Override
  public void onQuiesce(Effect.Quiesce effect) {
    operatorCommands.setQuiesced(effect.enabled());
  }

  @Override
  public void onAdmissionDecided(Effect.AdmissionDecided effect) {
    LOG.log(Level.DEBUG, () -> ContractLog.admissionDecided(effect));
  }

  @Override
  public void onChargeSettled(Effect.ChargeSettled effect) {
    LOG.log(Level.DEBUG, () -> ContractLog.chargeSettled(effect));
  }

  @Override
  public void onSendGossip(Effect.SendGossip effect) {
    gossipTransport.send(effect);
  }

  @Override
  public void onSendLeaseMessage(Effect.SendLeaseMessage effect) {
    gossipTransport.send(effect);
  }

  @Override
  public void onWarnOfIgnoredMember(Effect.WarnOfIgnoredMember effect) {
    MembershipAction.MemberIgnored member = effect.member();
    LOG.log(
        Level.WARNING,
        "Ignoring all messages of member "
            + member.number()
            + ", which name epoch "
            + member.reportedEpoch()
            + ", as it is recorded with the later epoch "
            + member.recordedEpoch());
  }

  @Override
  public void onLog(Effect.Log effect) {
    LOG.log(Level.INFO, effect.text());
  }
}
