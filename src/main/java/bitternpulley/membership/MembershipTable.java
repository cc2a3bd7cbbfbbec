package bitternpulley.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * The other members, by number: those that are configured. Guards against members made up by what
 * others say.
 */
final class MembershipTable {
  /**
   * So many members or fewer are all heard within a suspicion; of more, so many at least must be
   * known of.
   */
  private static final int FEW = 16;

  private static final int LEAST_KNOWN = 8;

  private final Map<Integer, Member> byNumber = new TreeMap<>();
  private final List<Member> suspects = new ArrayList<>();
  private final int self;

  /**
   * Reckoned anew once something has changed. Guards against a look at all members for each
   * message.
   */
  private int here = -1;

  private int digest;
  private long digestOf;
  private int told;

  MembershipTable(int self) {
    this.self = self;
  }

  /** The member of this number; null for oneself and for whom nobody configured. */
  Member known(int number) {
    return byNumber.get(number);
  }

  void configure(int number, double now) {
    if (number != self) {
      byNumber.put(number, new Member(number, now));
      here = -1;
    }
  }

  /** A member's process or standing is another now. */
  void changed(Member m) {
    here = -1;
    suspects.remove(m);
    if (m.standing == MemberState.SUSPECT) {
      suspects.add(m);
    }
  }

  /** Those that are suspect just now. */
  List<Member> suspects() {
    return List.copyOf(suspects);
  }

  Collection<Member> all() {
    return byNumber.values();
  }

  /** Members taken to be here, this one included. */
  int here() {
    if (here < 0) {
      here = 1 + (int) byNumber.values().stream().filter(Member::here).count();
      digestOf = 0;
    }
    return here;
  }

  /** Some of those that meet a condition, by chance. */
  List<Member> some(int most, Random random, Predicate<Member> which) {
    List<Member> all = new ArrayList<>(byNumber.values().stream().filter(which).toList());
    List<Member> some = new ArrayList<>();
    while (some.size() < most && !all.isEmpty()) {
      some.add(all.remove(random.nextInt(all.size())));
    }
    return some;
  }

  /**
   * Whether most members were heard since then, this one included: more than half, so that of two
   * sides of a cut one at the most judges the other. Where they are too many to be heard in that
   * time, of those that were asked or heard.
   */
  boolean hearsMost(double since) {
    int known = 1;
    int heard = 1;
    int here = here();
    for (Member m : byNumber.values()) {
      boolean hears = m.standing == MemberState.ALIVE && m.heardAt > since;
      if (m.here()
          && (here <= FEW || hears || m.standing == MemberState.SUSPECT || m.failedAt > since)) {
        known++;
        heard += hears ? 1 : 0;
      }
    }
    return 2 * heard > known && heard > 1 && known >= Math.min(here, LEAST_KNOWN);
  }

  /**
   * Equal where two instances hold the same members for here, dead and gone. Suspicion is passing,
   * so it does not count.
   */
  int digest(long epoch) {
    here();
    if (digestOf != epoch) {
      digestOf = epoch;
      digest = reckon(epoch);
    }
    return digest;
  }

  /**
   * Equal where two instances know the same of what members tell; {@code own} is this one's count.
   */
  int told(long epoch, int own) {
    digest(epoch);
    return told + (own == 0 ? 0 : mix(self, epoch, own));
  }

  private int reckon(long epoch) {
    int digest = mix(self, epoch, 0);
    told = 0;
    for (Member m : byNumber.values()) {
      if (m.epoch != 0 || !m.here()) {
        digest += mix(m.number, m.epoch, m.here() ? 0 : m.standing.ordinal());
      }
      told += m.slot == null ? 0 : mix(m.number, m.epoch, m.slot.count());
    }
    return digest;
  }

  private static int mix(int number, long epoch, int standing) {
    long x =
        (number * 0x9E3779B97F4A7C15L ^ epoch * 0xC2B2AE3D27D4EB4FL)
            + standing * 0x165667B19E3779F9L;
    x = (x ^ x >>> 32) * 0xD6E8FEB86659FD93L;
    return (int) (x ^ x >>> 29);
  }
}
