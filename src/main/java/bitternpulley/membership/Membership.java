package bitternpulley.membership;

import bitternpulley.membership.GossipMessage.Kind;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * One instance's part in finding out who is here. All times are ms of one clock; each call returns
 * what is to be sent and told, in order. {@link #tick} is to be called each {@link #tickInterval}
 * ms: that it comes late is how a pause is noticed.
 */
public final class Membership {
  /** Ticks in an interval, and intervals without a tick that make a pause. */
  private static final int TICKS = 10;

  private static final double PAUSE = 0.15;

  /**
   * Intervals after waking in which nobody is judged; and for which one that spoke, though it did
   * not answer, runs.
   */
  private static final double WAKING = 3;

  private static final double SPOKE_WITHIN = 6;

  /**
   * Intervals without a word from anybody after which an instance speaks up each interval, whatever
   * its doubt.
   */
  private static final double LONELY = 2;

  /** Members to which it speaks then. */
  private static final int LONELY_ASKED = 8;

  /** Intervals within which most others must have been heard for a verdict to count. */
  private static final double MOST_WITHIN = 6;

  /** Intervals between pages told of oneself, and between those told to one whose view differs. */
  private static final double SYNC_EVERY = 10;

  private static final double SYNC_LEAST = 1;

  /** Members told that this one leaves. */
  private static final int TOLD_OF_LEAVING = 6;

  private final int self;
  private final LocalMember me;
  private final MembershipSettings terms;
  private final Random random;
  private final MembershipTable table;
  private final MessageComposer voice;
  private final LocalHealth doubt = new LocalHealth();
  private final ReachabilityTracker ears = new ReachabilityTracker();
  private final Prober prober;
  private List<MembershipAction> out = new ArrayList<>();
  private final double startedAt;
  private double now;
  private double tickedAt;
  private double nextSync;
  private double judgeFrom;
  private double heardAt;
  private double saidAt;

  /** Since when most others are heard, while anybody is suspect; infinity while they are not. */
  private double mostSince = Double.POSITIVE_INFINITY;

  private long ignoredMessages;

  /**
   * An instance that starts.
   *
   * @param self its number
   * @param epoch tells this start from those before: greater than any
   * @param configured the numbers of those it is to find, its own included or not
   */
  public Membership(
      int self,
      MemberMetadata card,
      long epoch,
      List<Integer> configured,
      MembershipSettings terms,
      long seed,
      double now) {
    this.self = self;
    this.me = new LocalMember(self, card, epoch);
    this.terms = terms;
    this.random = new Random(seed);
    this.table = new MembershipTable(self);
    this.voice = new MessageComposer(self, me, table);
    configured.forEach(n -> table.configure(n, now));
    this.now = startedAt = tickedAt = heardAt = now;
    nextSync = now + SYNC_EVERY * terms.interval() * random.nextDouble();
    prober = new Prober(self, terms, table, doubt, random, new Verdicts(), now);
    voice.later(me.rumor());
  }

  public double tickInterval() {
    return terms.interval() / TICKS;
  }

  /** Digest of the view: equal on instances that hold the same members for here, dead and gone. */
  public int viewDigest() {
    return table.digest(me.epoch());
  }

  /** This instance's doubt in itself: 0 where it is well. */
  public int localHealth() {
    return doubt.score();
  }

  /** Tells this start from others of the same member; it may have been raised since the start. */
  public long epoch() {
    return me.epoch();
  }

  /** Messages and rumors that could not be used, so far. */
  public long ignoredMessages() {
    return ignoredMessages;
  }

  /** All that are known, this one included, by number. */
  public List<MemberView> members() {
    List<MemberView> all = new ArrayList<>();
    all.add(
        new MemberView(
            self,
            me.epoch(),
            me.standing(),
            me.card(),
            now - startedAt,
            0,
            false,
            ReachabilityReport.of(me.slot())));
    table.all().forEach(m -> all.add(MemberView.of(m, now)));
    all.sort(java.util.Comparator.comparingInt(MemberView::number));
    return all;
  }

  /** How a member stands; null where it is not known. */
  public MemberState stateOf(int number) {
    Member m = table.known(number);
    return number == self ? me.standing() : m == null ? null : m.standing;
  }

  // --- What happens ------------------------------------------------------------------------------

  /** The time goes on. */
  public List<MembershipAction> tick(double at) {
    begin(at);
    double gap = now - tickedAt;
    tickedAt = now;
    if (gap > tickInterval() + PAUSE * terms.interval()) {
      woke(gap);
    }
    prober.tick(now, me.leaving());
    List<Member> suspects = table.suspects();
    if (suspects.isEmpty() || !table.hearsMost(now - MOST_WITHIN * terms.interval())) {
      mostSince = Double.POSITIVE_INFINITY;
    } else if (mostSince == Double.POSITIVE_INFINITY) {
      mostSince = now;
    }
    suspects.forEach(this::judge);
    if (now >= Math.max(heardAt + LONELY * terms.interval(), saidAt + terms.interval())
        && !me.leaving()) {
      // Guards against one that only cannot hear, falls silent in its doubt, and is taken for dead
      // by all.
      saidAt = now;
      prober.greet(LONELY_ASKED);
    }
    if (now >= heardAt + terms.withoutMajorityAfter() / 2 && !me.leaving()) {
      new ArrayList<>(table.all())
          .stream()
              .filter(m -> m.standing == MemberState.ALIVE)
              .forEach(m -> suspect(m, self, "nobody is heard"));
    }
    if (now >= nextSync) {
      nextSync = now + SYNC_EVERY * terms.interval();
      table.some(1, random, Member::here).forEach(m -> sync(m.number, false));
    }
    return out;
  }

  /** A message has come from the address of the member that it names. */
  public List<MembershipAction> onMessage(GossipMessage message, double at) {
    begin(at);
    Member from = table.known(message.from());
    if (from == null
        || !LocalMember.plausible(message.epoch(), message.incarnation(), now)
        || from.floods(now, terms.interval())) {
      ignoredMessages++;
      return out;
    }
    if (message.epoch() < from.epoch) {
      // An earlier process's word, late; or a clock set back since: told how it stands, it takes a
      // later epoch.
      ignoredMessages++;
      send(from.number, Kind.ACK, 0, from.number);
      return out;
    }
    heardAt = from.spokeAt = from.heardAt = now;
    if (new GossipUpdate(
            from.number, message.epoch(), message.incarnation(), MemberState.ALIVE, -1, null)
        .newerThan(from.epoch, from.incarnation)) {
      renewed(from, message.epoch(), message.incarnation(), null, "its own word");
    }
    message.updates().stream().limit(GossipMessage.MAX_UPDATES).forEach(r -> rumor(r, from));
    switch (message.kind()) {
      case PING -> send(from.number, Kind.ACK, message.sequence(), self);
      case ACK -> prober.answered(message, now);
      case RELAY -> prober.help(message, now);
      case NACK -> prober.declined(message);
      case SYNC -> {}
    }
    boolean differs = message.viewDigest() != viewDigest();
    if ((differs || message.payloadDigest() != voice.told())
        && now >= nextSync - (SYNC_EVERY - SYNC_LEAST) * terms.interval()) {
      nextSync = now + SYNC_EVERY * terms.interval();
      sync(from.number, !differs);
    }
    return out;
  }

  /**
   * What other subsystems have it tell, at most {@link ReachabilityReport#PAYLOAD} bytes; it
   * reaches all others in some intervals.
   */
  public void publish(byte[] payload) {
    tells(ears.tell(payload));
  }

  private void tells(byte[] slot) {
    if (me.tell(slot)) {
      voice.slot(me.slotRumor());
    }
  }

  /** This instance is about to end. */
  public List<MembershipAction> leave(double at) {
    begin(at);
    me.leave();
    voice.add(me.rumor());
    table
        .some(TOLD_OF_LEAVING, random, Member::here)
        .forEach(m -> send(m.number, Kind.SYNC, 0, m.number));
    return out;
  }

  private void begin(double at) {
    now = Math.max(now, at);
    out = new ArrayList<>();
  }

  /**
   * Guards against verdicts by one that was not there to hear: what others had time for goes on
   * from here, what was asked before is not awaited, and nobody is judged until there was time to
   * hear again. It asks at once how it stands itself.
   */
  private void woke(double ms) {
    out.add(new MembershipAction.Resumed(ms));
    doubt.paused(ms, terms.interval());
    table.all().stream().filter(m -> m.suspicion != null).forEach(m -> m.suspicion.postpone(ms));
    prober.woke();
    judgeFrom = now + WAKING * terms.interval();
    prober.greet(terms.relays());
  }

  // --- Probes ------------------------------------------------------------------------------------

  private final class Verdicts implements Prober.Heard {
    @Override
    public void send(int to, Kind kind, int number, int target) {
      Membership.this.send(to, kind, number, target);
    }

    @Override
    public void failed(Member target, double asked) {
      if (target.suspicion != null) {
        target.suspicion.failedAgain(asked);
      }
      if (target.here()) {
        suspect(target, self, "no answer, direct or by others");
      }
      if (target.suspicion != null && !target.suspicion.failedTwice()) {
        prober.check(target); // so that it is known how it stands by when it may be judged
      }
    }

    @Override
    public void answered(Member target, int by) {
      if (ears.answered(target, target.byOthers)) {
        prober.check(target);
      }
      if (target.standing == MemberState.SUSPECT) {
        stands(target, MemberState.ALIVE, target.byOthers ? "answered " + by : "answered");
        voice.add(target.rumor(-1));
      }
    }
  }

  // --- What is said of members -------------------------------------------------------------------

  private void rumor(GossipUpdate said, Member teller) {
    if (!LocalMember.plausible(said.epoch(), said.incarnation(), now)) {
      ignoredMessages++;
      return;
    }
    if (said.number() == self) {
      if (me.corrects(said)) {
        voice.slot(me.slotRumor());
      }
      if (me.refutes(said)) {
        doubt.accused();
        voice.add(me.rumor());
      }
      return;
    }
    Member m = table.known(said.number());
    if (m == null) {
      ignoredMessages++;
      return;
    }
    if (m.learns(said)) {
      table.changed(m);
      voice.slot(m.slotRumor());
      out.add(
          new MembershipAction.PayloadReceived(m.number, m.epoch, ReachabilityReport.of(m.slot)));
    }
    boolean newer = said.newerThan(m.epoch, m.incarnation);
    if (m == teller && said.state() == MemberState.LEFT) {
      if (m.here() && said.epoch() == m.epoch) {
        stands(m, MemberState.LEFT, "its own word");
        voice.add(m.rumor(-1));
      }
    } else if (said.state() == MemberState.ALIVE) {
      m.card = m.card == null && said.epoch() == m.epoch ? said.metadata() : m.card;
      if (newer && believed(m, said, teller.number)) {
        renewed(m, said.epoch(), said.incarnation(), said.metadata(), "told by " + teller.number);
      }
    } else if (m.here() && newer && m.epoch != 0) {
      // Nobody is accused of what one has not heard of: asked itself, it says how it stands.
      prober.check(m);
    } else if (m.here()
        && (newer || said.epoch() == m.epoch && said.incarnation() == m.incarnation)) {
      if (newer) {
        // Guards against one that died before it was heard of, on which each instance is left to
        // its own word alone.
        m.heardOf(said.epoch(), said.incarnation());
        table.changed(m);
      }
      m.saidToLeave |= said.state() == MemberState.LEFT;
      // Whoever has heard it since takes no other's word for it.
      if (m.standing == MemberState.SUSPECT
          || m.heardAt < now - terms.interval()
          || said.state() == MemberState.LEFT) {
        suspect(
            m, said.accuser(), said.accuser() < 0 ? "said to leave" : "told by " + said.accuser());
      }
      if (m.suspicion != null && said.state() == MemberState.DEAD) {
        m.suspicion.givenUp();
      }
      if (m.suspicion != null && m.suspicion.isHearsay()) {
        prober.check(m);
      }
    }
  }

  /**
   * One's word is enough for a process that is known; a new one takes two, or its own. Guards
   * against processes made up.
   */
  private boolean believed(Member m, GossipUpdate said, int teller) {
    boolean known = said.epoch() == m.epoch || m.epoch == 0;
    boolean second = said.epoch() == m.claimed && m.claimedBy != teller;
    if (!known && !second) {
      m.claimed = said.epoch();
      m.claimedBy = teller;
      prober.check(m);
    }
    return known || second;
  }

  private void renewed(
      Member m, long epoch, int incarnation, MemberMetadata card, String evidence) {
    boolean first = m.epoch == 0;
    boolean another = epoch != m.epoch;
    m.heardOf(epoch, incarnation);
    m.card = card != null ? card : another ? null : m.card;
    m.slot = another ? null : m.slot;
    m.missed = another ? 0 : m.missed;
    m.failedAt = Double.NEGATIVE_INFINITY;
    table.changed(m);
    if (first) {
      stands(m, MemberState.ALIVE, "heard of for the first time: " + evidence);
      voice.later(m.rumor(-1));
      return;
    }
    if (another || m.standing != MemberState.ALIVE) {
      stands(m, MemberState.ALIVE, another ? "started anew: " + evidence : "refuted: " + evidence);
    }
    voice.add(m.rumor(-1));
  }

  private void suspect(Member m, int accuser, String evidence) {
    if (m.standing == MemberState.ALIVE) {
      stands(m, MemberState.SUSPECT, evidence);
      m.suspicion =
          new Suspicion(now, terms.suspicionIntervals() * terms.interval(), table.here() - 2);
    }
    if (m.standing == MemberState.SUSPECT && m.suspicion.confirmedBy(accuser)) {
      voice.add(m.rumor(accuser));
    }
  }

  /**
   * Nobody is called dead but by one that asked for itself, hears most others, and has not just
   * woken.
   */
  private void judge(Member m) {
    if (now < m.suspicion.endsAt() || now < judgeFrom) {
      return;
    }
    if (!m.suspicion.failedTwice() && heardAt > now - terms.withoutMajorityAfter()) {
      prober.check(m);
      return;
    }
    if (m.spokeAt > m.suspicion.since()
        && m.spokeAt >= now - SPOKE_WITHIN * terms.interval() * doubt.patience()
        && !m.saidToLeave) {
      return; // it runs, though it does not hear us: in doubt for as long as that lasts
    }
    boolean most = mostSince < Double.POSITIVE_INFINITY;
    boolean alone = now >= m.suspicion.since() + terms.withoutMajorityAfter();
    if (!alone && !m.suspicion.failedTwiceSince(mostSince)) {
      prober.check(m);
    } else if (alone
        || now >= m.suspicion.endsAt() + m.suspicion.lasts() * (doubt.patience() - 1)) {
      stands(
          m,
          m.saidToLeave ? MemberState.LEFT : MemberState.DEAD,
          "silent for "
              + Math.round(now - m.heardAt)
              + " ms, "
              + m.suspicion.accusers()
              + " accusers"
              + (most ? "" : "; most others are not heard"));
      voice.add(m.rumor(self));
    }
  }

  private void stands(Member m, MemberState next, String evidence) {
    MemberState before = m.standing;
    m.standing = next;
    m.since = now;
    m.suspicion = next == MemberState.SUSPECT ? m.suspicion : null;
    m.saidToLeave &= next == MemberState.SUSPECT;
    table.changed(m);
    out.add(new MembershipAction.StateChanged(m.number, m.card, before, next, evidence));
  }

  // --- What is sent ------------------------------------------------------------------------------

  private void send(int to, Kind kind, int number, int target) {
    out.add(new MembershipAction.Send(to, voice.say(kind, to, number, target)));
  }

  private void sync(int to, boolean told) {
    ears.look(table, now - SPOKE_WITHIN * terms.interval()).ifPresent(this::tells);
    out.add(new MembershipAction.Send(to, voice.page(to, told)));
  }
}
