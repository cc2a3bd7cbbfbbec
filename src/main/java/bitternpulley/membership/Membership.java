package bitternpulley.membership;

import bitternpulley.membership.GossipMessage.Kind;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * The membership protocol of one instance. Times are ms of one clock; each call returns the
 * messages to send and the events to log, in order. {@link #tick} has to be called every {@link
 * #tickInterval} ms: a late tick is how a pause of this instance is noticed.
 */
public final class Membership {
  private static final int TICKS_PER_INTERVAL = 10;

  /** Intervals by which a tick has to be late to count as a pause. */
  private static final double PAUSE_INTERVALS = 0.15;

  /** Members pinged by an instance that receives nothing. */
  private static final int ANNOUNCEMENT_TARGETS = 8;

  /** Members notified directly that this one leaves. */
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
  private final ReachabilityPublisher reachability;
  private final MemberTransitions transitions;
  private final UpdateHandler updates;
  private final FailureDetector failureDetector;
  private final Prober prober;
  private final double startedAt;
  private double now;
  private double lastTickAt;
  private long ignoredMessages;

  /**
   * The membership of an instance that starts.
   *
   * @param self number of this instance
   * @param metadata its metadata
   * @param epoch identifies this start; greater than that of any earlier start
   * @param configured numbers of all members, with or without its own
   * @param settings operators' settings
   * @param seed seed of all random choices
   * @param now time of the start
   */
  public Membership(
      int self,
      MemberMetadata metadata,
      long epoch,
      List<Integer> configured,
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
    configured.forEach(number -> table.configure(number, now));
    composer = new MessageComposer(local, table);
    outbox = new Outbox(composer);
    syncSchedule = new SyncSchedule(settings.interval(), random, now);
    isolation = new IsolationMonitor(settings, now);
    reachability = new ReachabilityPublisher(local, table, composer);
    transitions = new MemberTransitions(self, settings, table, composer, outbox);
    ActiveProbes activeProbes = new ActiveProbes();
    CheckQueue checks = new CheckQueue(activeProbes, settings.interval(), now);
    updates =
        new UpdateHandler(
            local, settings, table, localHealth, composer, outbox, transitions, checks);
    failureDetector =
        new FailureDetector(settings, table, localHealth, isolation, transitions, checks);
    ProbeResults results = new ProbeResults(self, transitions, checks);
    prober =
        new Prober(
            settings, table, localHealth, random, outbox, results, activeProbes, checks, now);
    composer.disseminateLater(local.update());
  }

  /** Ms between calls of {@link #tick}. */
  public double tickInterval() {
    return settings.interval() / TICKS_PER_INTERVAL;
  }

  /** Digest of the view: equal on instances that hold the same members active, dead and left. */
  public int viewDigest() {
    return composer.viewDigest();
  }

  /** How far this instance doubts itself: 0 where it is healthy, up to 8. */
  public int localHealth() {
    return localHealth.score();
  }

  /** Identifies this start of the member; a refutation may raise it. */
  public long epoch() {
    return local.epoch();
  }

  /** Number of messages and updates so far that could not be used. */
  public long ignoredMessages() {
    return ignoredMessages;
  }

  /** All members, this instance included, by number. */
  public List<MemberView> members() {
    List<MemberView> views = new ArrayList<>();
    views.add(local.view(now - startedAt));
    table.all().forEach(member -> views.add(MemberView.of(member, now)));
    views.sort(Comparator.comparingInt(MemberView::number));
    return views;
  }

  /** The state of a member; null where the number is not configured. */
  public MemberState stateOf(int number) {
    if (number == local.number()) {
      return local.state();
    }
    Member member = table.find(number);
    return member == null ? null : member.state();
  }

  /** Advances the time: probes, decides about suspects, and synchronizes views. */
  public List<MembershipAction> tick(double at) {
    begin(at);
    double sinceLastTick = now - lastTickAt;
    lastTickAt = now;
    if (sinceLastTick > tickInterval() + PAUSE_INTERVALS * settings.interval()) {
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
   * After a pause: extends suspicions, as no refutation could arrive, drops what was asked before,
   * and pings some members in order to learn of suspicions of this instance.
   */
  private void resume(double pausedForMs) {
    outbox.add(new MembershipAction.Resumed(pausedForMs));
    localHealth.recordPause(pausedForMs, settings.interval());
    table.suspects().forEach(suspect -> suspect.suspicion().postpone(pausedForMs));
    prober.reset();
    failureDetector.withholdVerdicts(now);
    prober.pingSome(settings.relays());
  }

  private void handleIsolation() {
    if (isolation.needsAnnouncement(now)) {
      isolation.recordAnnouncement(now);
      prober.pingSome(ANNOUNCEMENT_TARGETS);
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

  /** Handles a message that came from the address of the member it names as its sender. */
  public List<MembershipAction> onMessage(GossipMessage message, double at) {
    begin(at);
    Member sender = table.find(message.from());
    if (sender == null
        || !GossipLimits.isPlausible(message.epoch(), message.incarnation(), now)
        || sender.exceedsMessageLimit(now, settings.interval())) {
      ignoredMessages++;
      return outbox.actions();
    }
    sender.recordOwnVersion(message.epoch(), message.incarnation());
    if (message.epoch() < sender.epoch()) {
      // A late message of an earlier process, or of one that needs a later epoch: its clock was set
      // back, or the recorded epoch is wrong. The answer contains what is recorded.
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
      transitions.renew(sender, alive, "its own message", now);
    }
  }

  private void applyUpdate(GossipUpdate update, Member reporter) {
    if (!updates.apply(update, reporter, now)) {
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
        // Its updates, which every kind may carry, have been applied.
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
   * Publishes bytes of other subsystems to all members, which takes some intervals.
   *
   * @throws IllegalArgumentException if there are more than {@link
   *     ReachabilityReport#MAX_PAYLOAD_BYTES}
   */
  public void publish(byte[] payload) {
    reachability.publish(payload);
  }

  /** Announces that this instance is about to end. */
  public List<MembershipAction> leave(double at) {
    begin(at);
    local.leave();
    composer.disseminate(local.update());
    table
        .sample(LEAVE_TARGETS, random, Member::isActive)
        .forEach(member -> outbox.send(member.number(), Kind.SYNC, 0, member.number()));
    return outbox.actions();
  }

  private void begin(double at) {
    now = Math.max(now, at);
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
    reachability.refresh(now - FailureDetector.SENDING_INTERVALS * settings.interval());
  }
}
