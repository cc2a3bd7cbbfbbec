package bitternpulley.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * The other members, by number. It holds the configured members only, so that gossip cannot make it
 * grow.
 */
final class MembershipTable {
  /** In a fleet of at most this size, all members give evidence within a suspicion. */
  private static final int SMALL_FLEET = 16;

  /** In a larger fleet, the least number of members whose answers make a majority meaningful. */
  private static final int MIN_SAMPLE = 8;

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

  /**
   * The other member of this number; null for this instance itself and for unconfigured numbers.
   */
  Member find(int number) {
    return byNumber.get(number);
  }

  void configure(int number, double now) {
    if (number != self) {
      byNumber.put(number, new Member(number, now));
      invalidate();
    }
  }

  /** Has to be called after a member's process, state or payload has changed. */
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

  /** A copy of the list of current suspects. */
  List<Member> suspects() {
    return List.copyOf(suspects);
  }

  /** All other members by number. */
  Collection<Member> all() {
    return byNumber.values();
  }

  /** Number of active members, this instance included. */
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
   * Whether there was evidence of more than half of the active members since that time, this
   * instance included: of the two sides of a partition at most one can see a majority. In a large
   * fleet not all members are probed in that time, so only those probed or with evidence count.
   */
  boolean hasMajoritySince(double time) {
    int considered = 1;
    int responsive = 1;
    int active = activeCount();
    for (Member member : byNumber.values()) {
      boolean isResponsive = member.isAlive() && member.lastEvidenceAt() > time;
      if (member.isActive()
          && (active <= SMALL_FLEET
              || isResponsive
              || member.isSuspect()
              || member.lastProbeFailureAt() > time)) {
        considered++;
        responsive += isResponsive ? 1 : 0;
      }
    }
    return 2 * responsive > considered
        && responsive > 1
        && considered >= Math.min(active, MIN_SAMPLE);
  }

  /** Digest of the view of an instance that runs as the process of this epoch. */
  int viewDigest(long ownEpoch) {
    return digest.view(ownEpoch, byNumber.values());
  }

  /** Digest of the payloads known, including this instance's own of that count. */
  int payloadDigest(long ownEpoch, int ownCount) {
    return digest.payloads(ownEpoch, ownCount, byNumber.values());
  }
}
