package bitternpulley.membership;

/** What this instance is, and how it answers what is said of it. */
final class LocalMember {
  /**
   * Ms by which a process may be ahead of our clock; one further ahead is made up. Bears clocks
   * that are hours apart.
   */
  private static final double EPOCH_AHEAD = 86_400_000;

  /**
   * So often refuted, a process begins a new epoch: what is said of a higher incarnation is made
   * up.
   */
  private static final int MOST_INCARNATION = 1_000_000;

  /** What is said of a slot of a higher count is made up: at one a second it takes years. */
  static final int MOST_COUNT = 1_000_000_000;

  private final int number;
  private final MemberMetadata card;
  private long epoch;
  private int incarnation;
  private boolean leaving;
  private MemberPayload slot;

  LocalMember(int number, MemberMetadata card, long epoch) {
    this.number = number;
    this.card = card;
    this.epoch = epoch;
  }

  /** Whether there can be such a process. Guards against numbers that nobody could ever exceed. */
  static boolean plausible(long epoch, int incarnation, double now) {
    return epoch > 0
        && epoch <= now + EPOCH_AHEAD
        && incarnation >= 0
        && incarnation <= MOST_INCARNATION;
  }

  long epoch() {
    return epoch;
  }

  int incarnation() {
    return incarnation;
  }

  MemberMetadata card() {
    return card;
  }

  boolean leaving() {
    return leaving;
  }

  void leave() {
    leaving = true;
  }

  MemberState standing() {
    return leaving ? MemberState.LEFT : MemberState.ALIVE;
  }

  /** What it tells of itself from now on; false where it tells so already. */
  boolean tell(byte[] bytes) {
    if (slot != null && java.util.Arrays.equals(slot.bytes(), bytes)) {
      return false;
    }
    slot = new MemberPayload(slot == null ? 1 : slot.count() + 1, bytes);
    return true;
  }

  MemberPayload slot() {
    return slot;
  }

  GossipUpdate slotRumor() {
    return new GossipUpdate(number, epoch, incarnation, standing(), -1, null, slot);
  }

  /**
   * Whether somebody tells a slot of this process that it did not tell; then its own is told anew,
   * as a later one.
   */
  boolean corrects(GossipUpdate said) {
    boolean wrong =
        said.payload() != null
            && said.epoch() == epoch
            && !said.payload().equals(slot)
            && said.payload().count() >= (slot == null ? 0 : slot.count())
            && said.payload().count() < MOST_COUNT;
    if (wrong) {
      slot =
          new MemberPayload(said.payload().count() + 1, slot == null ? new byte[0] : slot.bytes());
    }
    return wrong;
  }

  GossipUpdate rumor() {
    return new GossipUpdate(number, epoch, incarnation, standing(), -1, card);
  }

  /**
   * Takes a later word than what is held of this instance, or of a later process of its number;
   * whether there was need.
   */
  boolean refutes(GossipUpdate said) {
    boolean later = said.newerThan(epoch, incarnation);
    boolean accused =
        said.state() != MemberState.ALIVE
            && (later || said.epoch() == epoch && said.incarnation() == incarnation);
    if (leaving || !later && !accused) {
      return false;
    }
    if (said.epoch() > epoch || Math.max(incarnation, said.incarnation()) >= MOST_INCARNATION) {
      epoch = Math.max(epoch, said.epoch()) + 1;
      incarnation = 0;
    } else {
      incarnation = Math.max(incarnation, said.incarnation()) + 1;
    }
    return true;
  }
}
