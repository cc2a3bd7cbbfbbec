package bitternpulley.membership;

/** What is known of one member. Plain state: {@link Membership} changes it. */
final class Member {
  /**
   * Messages of one member in an interval: some 10 are usual, and what lay there while one was
   * stopped comes at once.
   */
  private static final int MOST_SAID = 256;

  final int number;
  MemberMetadata card;
  long epoch;
  int incarnation;
  MemberState standing = MemberState.ALIVE;

  /** Set while it is suspect. */
  Suspicion suspicion;

  double since;

  /** What this process told last for other subsystems; null where nothing was heard of it. */
  MemberPayload slot;

  /** When a message of its own came last, and when anything showed that it runs. */
  double spokeAt = Double.NEGATIVE_INFINITY;

  double heardAt = Double.NEGATIVE_INFINITY;

  /** When it last failed to answer. */
  double failedAt = Double.NEGATIVE_INFINITY;

  /** A later process of it that one other told of: a second one's word, or its own, is awaited. */
  long claimed;

  int claimedBy = -1;

  /** Whether it is reached by others only, and for how many probes in a row. */
  boolean byOthers;

  int missed;

  /** Whether the suspicion comes of its own word that it leaves, as others tell it. */
  boolean saidToLeave;

  private double countedFrom = Double.NEGATIVE_INFINITY;
  private int counted;

  Member(int number, double now) {
    this.number = number;
    this.since = now;
  }

  /** It runs, or ran, as this process. */
  void heardOf(long process, int refutations) {
    epoch = process;
    incarnation = refutations;
  }

  /**
   * Whether it says more than anybody has to say. Guards against a peer that floods: what is beyond
   * costs a look and no answer.
   */
  boolean floods(double now, double interval) {
    if (now >= countedFrom + interval) {
      countedFrom = now;
      counted = 0;
    }
    return ++counted > MOST_SAID;
  }

  boolean here() {
    return standing == MemberState.ALIVE || standing == MemberState.SUSPECT;
  }

  /** Takes what is said that it told, if it is later; whether it was. */
  boolean learns(GossipUpdate said) {
    boolean later =
        said.payload() != null
            && said.epoch() == epoch
            && said.payload().count() <= LocalMember.MOST_COUNT
            && (slot == null || said.payload().count() > slot.count());
    slot = later ? said.payload() : slot;
    return later;
  }

  /** What it told of itself, without what else is known of it. */
  GossipUpdate slotRumor() {
    return new GossipUpdate(number, epoch, incarnation, standing, -1, null, slot);
  }

  GossipUpdate rumor(int accuser) {
    return new GossipUpdate(number, epoch, incarnation, standing, accuser, card);
  }
}
