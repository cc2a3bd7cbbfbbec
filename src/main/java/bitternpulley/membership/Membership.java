package bitternpulley.membership;

import bitternpulley.membership.GossipMessage.Kind;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * The membership protocol of one instance. All times are ms of the same clock. Each call returns
 * the messages to send and the events to log, in order. {@link #tick} must be called every {@link
 * #tickInterval} ms; a late call indicates that this instance was paused.
 */
public final class Membership {
  private static final int TICKS_PER_INTERVAL = 10;

  /** A tick that is late by more than this many intervals counts as a pause. */
  private static final double PAUSE_THRESHOLD_INTERVALS = 0.15;

  /** Members to which an instance that receives nothing sends keepalive pings. */
  private static final int KEEPALIVE_TARGETS = 8;

  /** Members that a leaving instance notifies directly. */
  private static final int LEAVE_TARGETS = 6;

  private final LocalMember local;
  private final MembershipSettings settings;
  private final Random random;
  private final MembershipTable table;
  private final MessageComposer composer;
  private final Outbox outbox;
  private final LocalHealth localHealth = new LocalHealth();
  private final SyncSchedule syncSchedule;
  private final IsolationMonitor isolation;
  private final ReachabilityPublisher reachabilityPublisher;
  private final MemberTransitions transitions;
  private final UpdateHandler updateHandler;
  private final FailureDetector failureDetector;
  private final Prober prober;
  private final double startedAt;
  private double now;
  private double lastTickAt;
  private long ignoredMessages;

  /**
   * Creates the membership of an instance that starts.
   *
   * @param self number of this instance
   * @param metadata metadata of this instance
   * @param epoch identifies this process; greater than the epoch of any earlier process
   * @param memberNumbers numbers of all configured members, with or without this instance
   * @param settings settings that operators can change
   * @param seed seed of all random choices
   * @param now time of the start
   */
  public Membership(
      int self,
      MemberMetadata metadata,
      long epoch,
      List<Integer> memberNumbers,
      MembershipSettings settings,
      long seed,
      double now) {
    this.settings = settings;
    this.now = now;
    startedAt = now;
    lastTickAt = now;
    random = new Random(seed);
    local = new LocalMember(self, metadata, epoch);
    table = new MembershipTable(self);
    memberNumbers.forEach(number -> table.add(number, now));
    composer = new MessageComposer(local, table);
    outbox = new Outbox(composer);
    syncSchedule = new SyncSchedule(settings.interval(), random, now);
    isolation = new IsolationMonitor(settings, now);
    reachabilityPublisher = new ReachabilityPublisher(local, table, composer);
    transitions = new MemberTransitions(self, settings, table, composer, outbox);
    ActiveProbes activeProbes = new ActiveProbes();
    CheckQueue checks = new CheckQueue(activeProbes, settings.interval(), now);
    updateHandler =
        new UpdateHandler(
            local, settings, table, localHealth, composer, outbox, transitions, checks);
    failureDetector =
        new FailureDetector(settings, table, localHealth, isolation, transitions, checks);
    ProbeResultHandler resultHandler = new ProbeResultHandler(self, transitions, checks);
    prober =
        new Prober(
            settings, table, localHealth, random, outbox, resultHandler, activeProbes, checks, now);
    composer.disseminateLater(local.update());
  }

  /** Ms between calls to {@link #tick}. */
  public double tickInterval() {
    return settings.interval() / TICKS_PER_INTERVAL;
  }

  /**
   * Digest of the view, which is equal on instances that see the same processes of the members as
   * active, dead and left.
   */
  public int viewDigest() {
    return composer.viewDigest();
  }

  /** The local health score of this instance, from 0 (healthy) to 8. */
  public int localHealth() {
    return localHealth.score();
  }

  /** Epoch of this instance's process, which a refutation may raise. */
  public long epoch() {
    return local.epoch();
  }

  /** Number of messages and updates that have been ignored so far. */
  public long ignoredMessages() {
    return ignoredMessages;
  }

  /** All members, including this instance, in order of their numbers. */
  public List<MemberView> members() {
    List<MemberView> views = new ArrayList<>();
    views.add(local.view(now - startedAt));
    table.all().forEach(member -> views.add(MemberView.of(member, now)));
    views.sort(Comparator.comparingInt(MemberView::number));
    return views;
  }

  /** The state of a member; null if no member has this number. */
  public MemberState stateOf(int number) {
    if (number == local.number()) {
      return local.state();
    }
    Member member = table.find(number);
    return member == null ? null : member.state();
  }

  /** Advances the time: probes members, declares suspects dead, and synchronizes views. */
  public List<MembershipAction> tick(double time) {
    begin(time);
    double sinceLastTick = now - lastTickAt;
    lastTickAt = now;
    if (sinceLastTick > tickInterval() + PAUSE_THRESHOLD_INTERVALS * settings.interval()) {
      resume(sinceLastTick);
    }
    prober.advance(now);
    if (!local.isLeaving()) {
      prober.startDue(now);
    }
    failureDetector.evaluate(now);
    if (!local.isLeaving()) {
      handleIsolation();
    }
    if (syncSchedule.isDue(now)) {
      syncSchedule.restart(now);
      table.sample(1, random, Member::isActive).forEach(this::syncStates);
    }
    return outbox.actions();
  }

  /**
   * Resumes after a pause: extends suspicions, as no refutation could arrive, drops the probes in
   * progress, and pings some members in order to learn of suspicions against this instance.
   */
  private void resume(double pausedForMs) {
    outbox.add(new MembershipAction.Resumed(pausedForMs));
    localHealth.recordPause(pausedForMs, settings.interval());
    table.suspects().forEach(suspect -> suspect.suspicion().extend(pausedForMs));
    prober.reset();
    failureDetector.postponeDeclarations(now);
    prober.pingSome(settings.relays());
  }

  private void handleIsolation() {
    if (isolation.needsKeepalive(now)) {
      isolation.recordKeepalive(now);
      prober.pingSome(KEEPALIVE_TARGETS);
    }
    if (isolation.isIsolated(now)) {
      suspectAllAlive();
    }
  }

  private void suspectAllAlive() {
    for (Member member : table.all()) {
      if (member.isAlive()) {
        transitions.suspect(member, local.number(), "no message from any member", now);
      }
    }
  }

  /** Handles a message that came from the address of the member that it names as its sender. */
  public List<MembershipAction> onMessage(GossipMessage message, double time) {
    begin(time);
    Member sender = table.find(message.from());
    if (sender == null
        || !GossipLimits.isPlausible(message.epoch(), message.incarnation(), now)
        || sender.exceedsMessageLimit(now, settings.interval())) {
      ignoredMessages++;
      return outbox.actions();
    }
    sender.recordReportedVersion(message.epoch(), message.incarnation());
    if (message.epoch() < sender.epoch()) {
      // Either a late message from an earlier process, or the sender needs a later epoch because
      // its clock was set back or the recorded epoch is wrong. The answer carries the recorded
      // epoch.
      ignoredMessages++;
      if (sender.recordIgnored(now, settings.interval())) {
        outbox.add(
            new MembershipAction.MemberIgnored(sender.number(), sender.epoch(), message.epoch()));
      }
      outbox.send(sender.number(), Kind.ACK, 0, sender.number());
      return outbox.actions();
    }
    sender.recordAccepted();
    recordSender(sender, message);
    message.updates().stream()
        .limit(GossipMessage.MAX_UPDATES)
        .forEach(update -> applyUpdate(update, sender));
    handleKind(message);
    syncIfDifferent(message);
    return outbox.actions();
  }

  private void recordSender(Member sender, GossipMessage message) {
    isolation.recordMessage(now);
    sender.recordMessage(now);
    GossipUpdate alive =
        new GossipUpdate(
            sender.number(),
            message.epoch(),
            message.incarnation(),
            MemberState.ALIVE,
            GossipUpdate.NO_ACCUSER,
            null);
    if (alive.isNewerThan(sender.epoch(), sender.incarnation())) {
      transitions.adoptNewerVersion(sender, alive, "its own message", now);
    }
  }

  private void applyUpdate(GossipUpdate update, Member reporter) {
    if (!updateHandler.apply(update, reporter, now)) {
      ignoredMessages++;
    }
  }

  private void handleKind(GossipMessage message) {
    switch (message.kind()) {
      case PING -> outbox.send(message.from(), Kind.ACK, message.sequence(), local.number());
      case ACK -> prober.onAck(message, now);
      case RELAY -> prober.onRelayRequest(message, now);
      case NACK -> prober.onNack(message);
      case SYNC -> {
        // The updates, which messages of every kind may carry, have already been applied.
      }
    }
  }

  private void syncIfDifferent(GossipMessage message) {
    boolean viewsDiffer = message.viewDigest() != composer.viewDigest();
    boolean payloadsDiffer = message.payloadDigest() != composer.payloadDigest();
    boolean isDifferent = viewsDiffer || payloadsDiffer;
    if (!isDifferent || !syncSchedule.allowsResponse(now)) {
      return;
    }
    syncSchedule.restart(now);
    Member sender = table.find(message.from());
    if (viewsDiffer) {
      syncStates(sender);
    } else {
      syncPayloads(sender);
    }
  }

  /**
   * Publishes bytes of other subsystems to all members; dissemination takes some intervals.
   *
   * @throws IllegalArgumentException if there are more than {@link
   *     ReachabilityReport#MAX_PAYLOAD_BYTES}
   */
  public void publish(byte[] payload) {
    reachabilityPublisher.publish(payload);
  }

  /** Announces that this instance is leaving. */
  public List<MembershipAction> leave(double time) {
    begin(time);
    local.leave();
    composer.disseminate(local.update());
    table
        .sample(LEAVE_TARGETS, random, Member::isActive)
        .forEach(member -> outbox.send(member.number(), Kind.SYNC, 0, member.number()));
    return outbox.actions();
  }

  private void begin(double time) {
    now = Math.max(now, time);
    outbox.begin();
  }

  private void syncStates(Member receiver) {
    refreshReachability();
    outbox.sendStateSync(receiver.number());
  }

  private void syncPayloads(Member receiver) {
    refreshReachability();
    outbox.sendPayloadSync(receiver.number());
  }

  private void refreshReachability() {
    reachabilityPublisher.refresh(now - FailureDetector.SENDING_INTERVALS * settings.interval());
  }
}
