package bitternpulley.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * The other members, by number. The table holds only configured members, so that gossip cannot make
 * it grow.
 */
final class MembershipTable {
  /** In a fleet of at most this size, every member gives evidence during one suspicion. */
  private static final int MAX_SMALL_FLEET = 16;

  /** In a larger fleet, the minimum number of members considered for a meaningful majority. */
  private static final int MIN_MAJORITY_SAMPLE = 8;

  private static final int NOT_COUNTED = -1;

  private final int self;
  private final Map<Integer, Member> byNumber = new TreeMap<>();
  private final List<Member> suspects = new ArrayList<>();
  private final ViewDigest digest;
  private int activeCount = NOT_COUNTED;

  MembershipTable(int self) {
    this.self = self;
    digest = new ViewDigest(self);
  }

  /** The member with this number; null for this instance itself and for unconfigured numbers. */
  Member find(int number) {
    return byNumber.get(number);
  }

  /** Adds a configured member; ignores this instance itself. */
  void add(int number, double now) {
    if (number != self) {
      byNumber.put(number, new Member(number, now));
      invalidate();
    }
  }

  /** Must be called after a member's process, state or payload has changed. */
  void onChanged(Member member) {
    invalidate();
    suspects.remove(member);
    if (member.isSuspect()) {
      suspects.add(member);
    }
  }

  private void invalidate() {
    activeCount = NOT_COUNTED;
    digest.invalidate();
  }

  /** The current suspects, as a copy. */
  List<Member> suspects() {
    return List.copyOf(suspects);
  }

  /** All other members, in order of their numbers. */
  Collection<Member> all() {
    return byNumber.values();
  }

  /** Number of active members, including this instance. */
  int activeCount() {
    if (activeCount == NOT_COUNTED) {
      activeCount = 1 + (int) byNumber.values().stream().filter(Member::isActive).count();
    }
    return activeCount;
  }

  /** Randomly chosen members that meet a condition, at most {@code limit}. */
  List<Member> sample(int limit, Random random, Predicate<Member> condition) {
    List<Member> candidates =
        new ArrayList<>(byNumber.values().stream().filter(condition).toList());
    List<Member> sample = new ArrayList<>();
    while (sample.size() < limit && !candidates.isEmpty()) {
      sample.add(candidates.remove(random.nextInt(candidates.size())));
    }
    return sample;
  }

  /**
   * Whether more than half of the active members, including this instance, have given evidence
   * since {@code time} that they run; at most one side of a partition can see a majority. In a
   * large fleet not all members are probed in that time, so only members that gave evidence, are
   * suspect or failed a probe are considered.
   */
  boolean hasMajoritySince(double time) {
    int considered = 1;
    int responsive = 1;
    int active = activeCount();
    for (Member member : byNumber.values()) {
      boolean isResponsive = member.isAlive() && member.lastEvidenceAt() > time;
      if (member.isActive()
          && (active <= MAX_SMALL_FLEET
              || isResponsive
              || member.isSuspect()
              || member.lastProbeFailureAt() > time)) {
        considered++;
        responsive += isResponsive ? 1 : 0;
      }
    }
    return 2 * responsive > considered
        && responsive > 1
        && considered >= Math.min(active, MIN_MAJORITY_SAMPLE);
  }

  /** Digest of this instance's view; {@code ownEpoch} is the epoch of this instance. */
  int viewDigest(long ownEpoch) {
    return digest.viewDigest(ownEpoch, byNumber.values());
  }

  /** Digest of the known payloads, including this instance's own with that sequence number. */
  int payloadDigest(long ownEpoch, int ownSequenceNumber) {
    return digest.payloadDigest(ownEpoch, ownSequenceNumber, byNumber.values());
  }
}
