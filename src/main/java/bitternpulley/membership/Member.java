package bitternpulley.membership;

/** What is known of one member. Plain state: {@link Membership} changes it. */
final class Member {
  final int number;
  Card card;
  long epoch;
  int incarnation;
  Standing standing = Standing.ALIVE;
  /** Set while it is suspect. */
  Suspicion suspicion;
  double since;
  /** When a message of its own came last, and when anything showed that it runs. */
  double spokeAt = Double.NEGATIVE_INFINITY;
  double heardAt = Double.NEGATIVE_INFINITY;
  /** When it last failed to answer. */
  double failedAt = Double.NEGATIVE_INFINITY;
  /** A later process of it that one other told of: a second one's word, or its own, is awaited. */
  long claimed;
  int claimedBy = -1;
  /** Whether it is reached by others only. */
  boolean byOthers;
  /** Whether the suspicion comes of its own word that it leaves, as others tell it. */
  boolean saidToLeave;

  Member(int number, double now) {
    this.number = number;
    this.since = now;
  }

  boolean here() {
    return standing == Standing.ALIVE || standing == Standing.SUSPECT;
  }

  Rumor rumor(int accuser) {
    return new Rumor(number, epoch, incarnation, standing, accuser, card);
  }
}
