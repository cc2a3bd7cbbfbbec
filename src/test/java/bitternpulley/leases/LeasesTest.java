package bitternpulley.leases;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * All together never take more than the whole, whatever befalls them; and the part of the dead is
 * not left unused.
 */
class LeasesTest {
  private static final double LASTS = 10_000;
  private static final double EFFECT = 1250;
  private static final double ROUNDING = 1e-9;

  private static LeaseTerms terms(int members, int witnesses) {
    return new LeaseTerms(members, IntStream.range(0, witnesses).boxed().toList(), LASTS, EFFECT);
  }

  private static void neverMoreThanTheWhole(LeaseWorld w) {
    assertTrue(w.most <= 1 + ROUNDING, "seed " + w.seed + ": all together took " + w.most);
  }

  private static void each(
      int members, int witnesses, java.util.function.Consumer<LeaseWorld> test) {
    for (long seed = 1; seed <= 10; seed++) {
      LeaseWorld w = new LeaseWorld(terms(members, witnesses), seed).run(2.5 * LASTS);
      test.accept(w);
      neverMoreThanTheWhole(w);
    }
  }

  private static void parts(LeaseWorld w, List<Integer> of, double part) {
    of.forEach(i -> assertEquals(part, w.part(i), ROUNDING, "seed " + w.seed + ": member " + i));
  }

  @Test
  void aFleetThatStartsHasEvenPartsOnceNoEarlierLeaseCanBeOut() {
    LeaseWorld w = new LeaseWorld(terms(5, 3), 1).run(0.95 * LASTS);
    parts(w, List.of(0, 1, 2, 3, 4), 0);
    parts(w.run(LASTS), List.of(0, 1, 2, 3, 4), 1.0 / 5);
    neverMoreThanTheWhole(w);
  }

  @Test
  void thePartOfTheDeadGoesToTheOthersAndComesBackToItsNextProcess() {
    each(
        5,
        3,
        w -> {
          w.kill(4);
          w.run(0.5 * LASTS);
          parts(w, List.of(0, 1, 2, 3), 1.0 / 5);
          parts(w.run(LASTS), List.of(0, 1, 2, 3), 1.0 / 4);
          w.start(4);
          w.run(0.8 * LASTS);
          parts(w, List.of(4), 0);
          parts(w.run(LASTS), List.of(0, 1, 2, 3, 4), 1.0 / 5);
        });
  }

  @Test
  void ofTwoSidesOfACutTheSmallerGivesUpItsPartBeforeTheOtherTakesIt() {
    each(
        7,
        5,
        w -> {
          w.cutOff(List.of(0, 1, 6), true);
          parts(w.run(2 * LASTS), List.of(0, 1, 6), 0);
          parts(w, List.of(2, 3, 4, 5), 1.0 / 4);
          w.cutOff(List.of(0, 1, 6), false);
          parts(w.run(2.5 * LASTS), List.of(0, 1, 2, 3, 4, 5, 6), 1.0 / 7);
        });
  }

  /** Guards against one that hears all, and takes that for being heard. */
  @Test
  void oneThatNobodyHearsHasNoPart() {
    each(
        5,
        3,
        w -> {
          IntStream.range(0, 4).forEach(i -> w.cut[4][i] = true);
          parts(w.run(2 * LASTS), List.of(4), 0);
          parts(w, List.of(0, 1, 2, 3), 1.0 / 4);
        });
  }

  @Test
  void withoutMostWitnessesNobodyHasAPartAndWithThemAgainAllHave() {
    each(
        5,
        3,
        w -> {
          w.kill(0);
          parts(w.run(2 * LASTS), List.of(1, 2, 3, 4), 1.0 / 4);
          w.kill(1);
          parts(w.run(2 * LASTS), List.of(2, 3, 4), 0);
          w.start(0);
          parts(w.run(3 * LASTS), List.of(0, 2, 3, 4), 1.0 / 4);
        });
  }

  @Test
  void oneThatWakesHasNothingUntilItHasAskedAnew() {
    each(
        5,
        3,
        w -> {
          w.pause(3, 30_000);
          w.run(29_999);
          parts(w, List.of(0, 1, 2, 4), 1.0 / 4);
          assertEquals(0, w.part(3), ROUNDING);
          parts(w.run(2.5 * LASTS), List.of(0, 1, 2, 3, 4), 1.0 / 5);
        });
  }

  /**
   * Witnesses and others, killed, started anew, stopped, cut one way and both, with loss and delay:
   * by chance, from a seed.
   */
  @Property(tries = 100, seed = "20261202")
  void whateverHappensAllTogetherTakeNoMoreThanTheWhole(
      @ForAll long seed,
      @ForAll @IntRange(min = 1, max = 9) int members,
      @ForAll @IntRange(min = 1, max = 5) int witnesses) {
    Random random = new Random(seed);
    LeaseWorld w = new LeaseWorld(terms(members, Math.min(witnesses, members)), seed);
    w.run(random.nextInt(25_000));
    for (int k = 0; k < 40; k++) {
      int a = random.nextInt(members);
      int b = random.nextInt(members);
      switch (random.nextInt(7)) {
        case 0 -> w.kill(a);
        case 1, 2 -> {
          if (!w.up(a) || random.nextBoolean()) {
            w.start(a);
          }
        }
        case 3 -> w.pause(a, random.nextInt(20_000));
        case 4 -> w.cut[a][b] = !w.cut[a][b];
        case 5 ->
            w.cutOff(
                random.ints(random.nextInt(members), 0, members).distinct().boxed().toList(),
                random.nextBoolean());
        default -> {
          w.loss = random.nextInt(3) == 0 ? 0.4 * random.nextDouble() : 0;
          w.mostDelay = random.nextInt(3) == 0 ? 4000 : 20;
        }
      }
      w.run(random.nextInt(random.nextInt(4) == 0 ? 15_000 : 3000));
      neverMoreThanTheWhole(w);
    }
  }

  /**
   * A holder whose clock is slow and a witness whose clock is fast: still, the one is over before
   * the other lets go.
   */
  @Property(tries = 50, seed = "20261202")
  void clocksOfAnotherPaceAreBorne(@ForAll @IntRange(min = 2000, max = 600_000) int lasts) {
    LeaseTerms terms = new LeaseTerms(5, List.of(0), lasts, EFFECT);
    assertTrue((terms.usableTime() + terms.effectTime()) / 0.9951 <= terms.expiryWait() / 1.0049);
    assertTrue(
        (terms.usableTime() + terms.effectTime()) / 0.9951
            <= terms.expiryWait(terms.duration()) / 1.0049);
  }

  /**
   * Guards against an answer long on its way, by which a newcomer would take its part while others
   * still have it.
   */
  @Test
  void whoIsToWaitWaitsFromWhenItIsToldAndWhoHasEndedAsksNoMore() {
    Leases m = new Leases(2, new LeaseTerms(3, List.of(0), LASTS, EFFECT));
    m.start(5, 0);
    m.tick(2500);
    m.onMessage(new LeaseMessage.LeaseGrant(0, 1, 5000, new BitSet()), 5500);
    assertEquals(0, m.status(10_000).leases());
    assertEquals(1, m.status(10_600).leases());
    assertEquals(1, m.status(10_600).activeMembers(), "itself at least");
    m.stop();
    assertEquals(List.of(), m.tick(20_000));
  }

  @Test
  void whatWasNotAskedLastOrMakesNoSenseChangesNothing() {
    LeaseTerms terms = terms(3, 3);
    Leases m = new Leases(2, terms);
    m.start(5, 0);
    m.tick(0);
    BitSet named = new BitSet();
    named.set(0, 3);
    assertEquals(List.of(), m.onMessage(new LeaseMessage.LeaseGrant(1, 99, 0, named), 10));
    m.onMessage(new LeaseMessage.LeaseGrant(1, 2, Double.NaN, named), 10);
    m.onMessage(new LeaseMessage.LeaseRequest(7, 1, 1), 10);
    m.onMessage(new LeaseMessage.LeaseRequest(-1, 1, 1), 10);
    assertEquals(4, m.ignoredMessages());
    assertEquals(0, m.status(20).leases());
  }
}
