package bitternpulley.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The hard cases in virtual time, each over several seeds. */
class MembershipTest {
  private static final int SEEDS = 10;

  private static World settled(int count, long seed) {
    World w = new World(count, seed, MembershipSettings.DEFAULT);
    w.until(60_000, "all find each other", w::viewsEqual);
    w.run(3000);
    w.verdicts.clear();
    return w;
  }

  private interface Case {
    void of(World w);
  }

  private static void each(int count, Case test) {
    for (long seed = 1; seed <= SEEDS; seed++) {
      World w = settled(count, seed);
      test.of(w);
    }
  }

  private static void nobodyCalledDead(World w, int... but) {
    assertEquals(
        List.of(),
        w.deaths().stream().filter(v -> IntStream.of(but).noneMatch(b -> b == v.of())).toList(),
        "seed " + w.seed);
  }

  @ParameterizedTest
  @ValueSource(ints = {5, 12, 100})
  void theDeadIsKnownToAllWithinSecondsAndNobodyElseIsCalledSo(int count) {
    each(
        count,
        w -> {
          w.kill(2);
          double took = w.until(30_000, "all know", () -> w.allHold(2, MemberState.DEAD));
          assertTrue(took <= (count <= 12 ? 11_000 : 13_000), "seed " + w.seed + ": " + took);
          w.run(5000);
          nobodyCalledDead(w, 2);
          assertTrue(w.viewsEqual());
        });
  }

  @Test
  void halfAtOnceAndAllButOneAreKnownLaterAsNoMajorityIsHeard() {
    each(
        12,
        w -> {
          IntStream.range(0, 6).forEach(w::kill);
          w.until(
              60_000,
              "half",
              () -> IntStream.range(0, 6).allMatch(i -> w.allHold(i, MemberState.DEAD)));
          assertTrue(w.deaths().stream().allMatch(v -> v.of() < 6), "seed " + w.seed);
          IntStream.range(6, 11).forEach(w::kill);
          w.until(
              60_000,
              "all but one",
              () -> IntStream.range(0, 11).allMatch(i -> w.allHold(i, MemberState.DEAD)));
        });
  }

  @ParameterizedTest
  @CsvSource({"300,1", "3000,1", "3000,3", "300,3"})
  void onePausedIsNotCalledDeadNorCallsOthersSo(double ms, int paused) {
    each(
        7,
        w -> {
          IntStream.range(0, paused).forEach(i -> w.pause(i, ms));
          w.run(ms + 20_000);
          nobodyCalledDead(w);
          assertTrue(w.viewsEqual(), "seed " + w.seed);
        });
  }

  @Test
  void oneThatDidNotRunSaysSoAndAsksAtOnceHowItStands() {
    Membership m =
        new Membership(
            0,
            new MemberMetadata("n0", "z", "r", "b"),
            1000,
            List.of(0, 1, 2, 3),
            MembershipSettings.DEFAULT,
            1,
            1000);
    m.tick(1100);
    List<MembershipAction> out = m.tick(1400);
    assertEquals(
        List.of(new MembershipAction.Resumed(300)),
        out.stream().filter(o -> o instanceof MembershipAction.Resumed).toList());
    assertTrue(
        out.stream().filter(o -> o instanceof MembershipAction.Send).count() >= 3, out.toString());
  }

  /**
   * A tenth of its core: it is late with everything, and knows that it is not the others who fail.
   */
  @Test
  void oneThatIsLateWithEverythingDoubtsItselfAndNotTheOthers() {
    each(
        7,
        w -> {
          w.slow(3, 1000);
          w.run(60_000);
          nobodyCalledDead(w);
          assertTrue(w.at(3).localHealth() > 0, "seed " + w.seed);
          long blames =
              w.verdicts.stream()
                  .filter(v -> v.by() == 3 && v.now() == MemberState.SUSPECT)
                  .count();
          assertTrue(
              blames <= 15,
              "seed " + w.seed + ": it suspected others " + blames + " times in a minute");
        });
  }

  @Test
  void twoHalvesThatHaveCalledEachOtherDeadFindEachOther() {
    each(
        6,
        w -> {
          halves(w, true);
          w.until(
              60_000,
              "each half is alone",
              () ->
                  IntStream.range(0, 6)
                      .allMatch(
                          i ->
                              IntStream.range(0, 6)
                                  .allMatch(
                                      j ->
                                          i / 3 == j / 3
                                              || w.at(i).stateOf(j) == MemberState.DEAD)));
          halves(w, false);
          w.until(
              30_000,
              "found",
              () ->
                  IntStream.range(0, 6).allMatch(i -> w.allHold(i, MemberState.ALIVE))
                      && w.viewsEqual());
        });
  }

  private static void halves(World w, boolean cut) {
    for (int a = 0; a < 3; a++) {
      for (int b = 3; b < 6; b++) {
        w.cut(a, b, cut);
        w.cut(b, a, cut);
      }
    }
  }

  @Test
  void oneThatSleptLongComesBackAndBlamesNobody() {
    each(
        7,
        w -> {
          w.pause(0, 30_000);
          w.run(30_000);
          assertTrue(w.allHold(0, MemberState.DEAD), "seed " + w.seed);
          w.until(15_000, "back", () -> w.allHold(0, MemberState.ALIVE) && w.viewsEqual());
          nobodyCalledDead(w, 0);
        });
  }

  @ParameterizedTest
  @CsvSource({"0.05,30", "0.2,100", "0.4,400"})
  void lossDelayAndRepetitionKillNobody(double loss, double delay) {
    each(
        7,
        w -> {
          w.loss = loss;
          w.mostDelay = delay;
          w.repeated = 0.1;
          w.run(60_000);
          nobodyCalledDead(w);
          w.loss = 0;
          w.mostDelay = 3;
          w.until(30_000, "views equal", w::viewsEqual);
        });
  }

  @Test
  void aOneWayCutBetweenTwoEndsInOneViewWithoutFlapping() {
    each(
        7,
        w -> {
          w.cut(0, 1, true);
          w.run(60_000);
          nobodyCalledDead(w);
          assertTrue(w.viewsEqual(), "seed " + w.seed);
          long changes = w.verdicts.stream().filter(v -> v.now() == MemberState.SUSPECT).count();
          assertTrue(changes <= 6, "seed " + w.seed + ": " + changes + " suspicions in a minute");
        });
  }

  @Test
  void oneThatHearsNobodyThoughAllHearItBlamesNobodyAndIsKept() {
    each(
        7,
        w -> {
          IntStream.range(1, 7).forEach(i -> w.cut(i, 0, true));
          w.run(15_000);
          nobodyCalledDead(w);
          IntStream.range(1, 7).forEach(i -> w.cut(i, 0, false));
          w.until(20_000, "healed", () -> w.allHold(0, MemberState.ALIVE) && w.viewsEqual());
        });
  }

  @Test
  void oneThatNobodyHearsIsGoneForAllAndBackOnceHeard() {
    each(
        7,
        w -> {
          IntStream.range(1, 7).forEach(i -> w.cut(0, i, true));
          w.until(30_000, "gone", () -> w.allHold(0, MemberState.DEAD));
          nobodyCalledDead(w, 0);
          IntStream.range(1, 7).forEach(i -> w.cut(0, i, false));
          w.until(20_000, "healed", () -> w.allHold(0, MemberState.ALIVE) && w.viewsEqual());
        });
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aZoneCutOffIsJudgedByTheMajorityAloneAndFoundAgain(boolean flapping) {
    each(
        7,
        w -> {
          for (int k = 0; k < 10; k++) {
            zone(w, !flapping || k % 2 == 0);
            w.run(1000);
          }
          zone(w, false);
          assertTrue(
              w.deaths().stream().allMatch(v -> v.of() < 3 && v.by() >= 3),
              "seed " + w.seed + ": " + w.deaths());
          w.until(20_000, "healed", w::viewsEqual);
          w.until(
              20_000,
              "all alive",
              () -> IntStream.range(0, 7).allMatch(i -> w.allHold(i, MemberState.ALIVE)));
        });
  }

  private static void zone(World w, boolean cut) {
    for (int a = 0; a < 3; a++) {
      for (int b = 3; b < 7; b++) {
        w.cut(a, b, cut);
        w.cut(b, a, cut);
      }
    }
  }

  /**
   * What all hold of the ways between two that do not hear each other, and that it does not flap.
   */
  @Test
  void whoDoesNotReachWhomIsKnownToAllWithItsDirection() {
    each(
        7,
        w -> {
          w.cut(0, 1, true);
          w.until(
              60_000,
              "told by both",
              () -> IntStream.range(0, 7).allMatch(i -> misses(w, i, 0, 1) && misses(w, i, 1, 0)));
          w.run(30_000);
          assertTrue(
              IntStream.range(0, 7).allMatch(i -> misses(w, i, 0, 1) && misses(w, i, 1, 0)),
              "seed " + w.seed);
          assertTrue(
              IntStream.range(0, 7)
                  .noneMatch(i -> w.at(i).members().get(1).reachability().receivesFrom(0)),
              "seed " + w.seed);
          assertTrue(
              IntStream.range(2, 7)
                  .allMatch(i -> w.at(0).members().get(i).reachability().missed().isEmpty()));
          w.cut(0, 1, false);
          w.until(
              60_000,
              "healed",
              () ->
                  IntStream.range(0, 7)
                      .allMatch(i -> w.at(0).members().get(i).reachability().missed().isEmpty()));
        });
  }

  private static boolean misses(World w, int by, int of, int whom) {
    return w.at(by).members().get(of).reachability().missed().equals(List.of(whom));
  }

  /**
   * Guards against ways that are told to be cut, and whole again, since now and then a datagram is
   * lost.
   */
  @Test
  void lossIsNotTakenForACutWay() {
    int told = 0;
    for (long seed = 1; seed <= 5; seed++) {
      World w = settled(10, seed);
      w.loss = 0.2;
      for (int second = 0; second < 120; second++) {
        w.run(1000);
        told +=
            IntStream.range(0, 10)
                .map(i -> w.at(0).members().get(i).reachability().missed().size())
                .sum();
      }
    }
    assertTrue(told <= 300, "of 54,000 ways and seconds, " + told + " were told to be cut");
  }

  /**
   * Guards against news of a start, of which all have much to say, that holds up the word on one
   * that is dead.
   */
  @Test
  void amongManyThatHaveJustStartedTheDeadIsKnownAllTheSame() {
    World w = new World(400, 1, MembershipSettings.DEFAULT);
    w.run(30_000);
    w.kill(7);
    double took = w.until(60_000, "all know", () -> w.allHold(7, MemberState.DEAD));
    assertTrue(took <= 10_000, took + " ms");
  }

  /** One in ten a minute goes, for 2 or for 15 s, and comes back as another process. */
  @Test
  void churnAmongAHundredIsFollowedAndNobodyElseIsCalledDead() {
    World w = settled(100, 1);
    for (int k = 0; k < 10; k++) {
      int goes = 7 * k % 100;
      w.kill(goes);
      w.plan(w.now + (k % 2 == 0 ? 2000 : 15_000), () -> w.start(goes));
      w.run(6000);
    }
    w.run(15_000);
    w.until(60_000, "views equal", w::viewsEqual);
    assertTrue(IntStream.range(0, 100).allMatch(i -> w.allHold(i, MemberState.ALIVE)));
    nobodyCalledDead(w, IntStream.range(0, 10).map(k -> 7 * k % 100).toArray());
  }

  @Test
  void aBridgeKeepsTwoThatNeverHearEachOther() {
    each(
        3,
        w -> {
          w.cut(0, 2, true);
          w.cut(2, 0, true);
          w.run(60_000);
          nobodyCalledDead(w);
        });
  }

  @Test
  void aRestartIsNotTakenForTheOldProcessAndItsOldWordChangesNothing() {
    each(
        5,
        w -> {
          long before = w.at(1).epoch();
          GossipMessage old =
              new GossipMessage(
                  GossipMessage.Kind.PING,
                  1,
                  before,
                  0,
                  1,
                  0,
                  0,
                  List.of(new GossipUpdate(2, w.at(2).epoch(), 0, MemberState.DEAD, 1, null)));
          w.kill(1);
          w.run(300);
          w.start(1);
          w.until(10_000, "known anew", w::viewsEqual);
          w.verdicts.clear();
          long ignored = w.at(0).ignoredMessages();
          w.perform(0, w.at(0).onMessage(old, w.now));
          assertEquals(ignored + 1, w.at(0).ignoredMessages());
          assertEquals(List.of(), w.verdicts);
        });
  }

  @Test
  void aClockSetBackAtARestartIsOvercome() {
    each(
        5,
        w -> {
          w.kill(1);
          w.clockAhead(1, -3_600_000);
          w.start(1);
          w.until(
              15_000,
              "its later epoch is known",
              () -> w.viewsEqual() && w.allHold(1, MemberState.ALIVE));
        });
  }

  @Test
  void oneThatLeavesIsGoneAtOnce() {
    each(
        7,
        w -> {
          w.perform(3, w.at(3).leave(w.now));
          w.run(20);
          w.kill(3);
          w.until(6000, "left", () -> w.allHold(3, MemberState.LEFT));
          nobodyCalledDead(w);
        });
  }

  @Test
  void whoFloodsIsAnsweredNoMoreThanOthersWouldNeedAndHarmsNobody() {
    each(
        5,
        w -> {
          long ignored = w.at(0).ignoredMessages();
          int answers = 0;
          for (int k = 0; k < 10_000; k++) {
            answers +=
                w.at(0)
                    .onMessage(
                        new GossipMessage(
                            GossipMessage.Kind.PING, 4, w.at(4).epoch(), 0, k, 0, 0, List.of()),
                        w.now)
                    .size();
          }
          assertTrue(answers < 600, "seed " + w.seed + ": " + answers);
          assertTrue(w.at(0).ignoredMessages() > ignored + 9000);
          w.run(20_000);
          nobodyCalledDead(w);
          assertTrue(w.viewsEqual(), "seed " + w.seed);
        });
  }

  /** It accuses everyone, of everything, as often as it can. */
  @Test
  void aLiarRemovesNobodyFromAnyView() {
    each(
        7,
        w -> {
          for (int k = 0; k < 300; k++) {
            for (int of = 0; of < 6; of++) {
              MemberState[] lies = {MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT};
              GossipUpdate lie =
                  new GossipUpdate(
                      of,
                      w.at(of).epoch() + (k % 3 == 0 ? 1000 : 0),
                      k % 7,
                      lies[k % 3],
                      k % 6,
                      null);
              w.deliver(
                  6,
                  (of + 1 + k) % 6,
                  new GossipMessage(
                      GossipMessage.Kind.SYNC, 6, w.at(6).epoch(), 0, 0, 0, 0, List.of(lie)));
            }
            w.run(100);
          }
          assertEquals(
              List.of(),
              w.verdicts.stream()
                  .filter(
                      v ->
                          v.of() != 6
                              && (v.now() == MemberState.DEAD || v.now() == MemberState.LEFT))
                  .toList(),
              "seed " + w.seed);
          w.until(
              30_000,
              "calm",
              () -> IntStream.range(0, 6).allMatch(i -> w.allHold(i, MemberState.ALIVE)));
        });
  }

  private static boolean tells(World w, int by, int of, byte[] what) {
    return java.util.Arrays.equals(w.at(by).members().get(of).reachability().payload(), what);
  }

  private static boolean allHear(World w, int of, byte[] what) {
    return IntStream.range(0, w.size()).filter(w::up).allMatch(i -> tells(w, i, of, what));
  }

  @ParameterizedTest
  @ValueSource(ints = {7, 100})
  void whatAMemberTellsOfItselfReachesAllAndTheLaterWordStands(int count) {
    each(
        count,
        w -> {
          byte[] first = new byte[ReachabilityReport.MAX_PAYLOAD_BYTES];
          byte[] second = {1, 2, 3};
          w.loss = 0.2;
          w.at(1).publish(first);
          w.run(100);
          w.at(1).publish(second);
          w.until(30_000, "all hear", () -> allHear(w, 1, second));
          w.run(10_000);
          assertTrue(allHear(w, 1, second), "seed " + w.seed);
        });
  }

  @Test
  void aRestartedMembersOldWordIsGoneAndItsNextCounts() {
    each(
        5,
        w -> {
          w.at(1).publish(new byte[] {1});
          w.until(15_000, "told", () -> allHear(w, 1, new byte[] {1}));
          w.kill(1);
          w.run(300);
          w.start(1);
          w.until(
              15_000,
              "known anew",
              () ->
                  IntStream.of(0, 2, 3, 4)
                      .allMatch(
                          i -> w.at(i).members().get(1).reachability().payload().length == 0));
          w.at(1).publish(new byte[] {2});
          w.until(15_000, "told anew", () -> allHear(w, 1, new byte[] {2}));
        });
  }

  /**
   * Another tells in its name, with a greater count: the member hears of it and has the last word.
   */
  @Test
  void whatIsMadeUpInAnothersNameIsCorrected() {
    each(
        7,
        w -> {
          byte[] own = {7};
          w.at(1).publish(own);
          w.until(15_000, "told", () -> allHear(w, 1, own));
          GossipUpdate lie =
              new GossipUpdate(
                  1,
                  w.at(1).epoch(),
                  0,
                  MemberState.ALIVE,
                  -1,
                  null,
                  new MemberPayload(50, new byte[] {1, 0, 66}));
          w.deliver(
              6,
              2,
              new GossipMessage(
                  GossipMessage.Kind.SYNC, 6, w.at(6).epoch(), 0, 0, 0, 0, List.of(lie)));
          w.run(100);
          assertTrue(tells(w, 2, 1, new byte[] {66}));
          w.until(30_000, "corrected", () -> allHear(w, 1, own));
          GossipUpdate beyond =
              new GossipUpdate(
                  1,
                  w.at(1).epoch(),
                  0,
                  MemberState.ALIVE,
                  -1,
                  null,
                  new MemberPayload(Integer.MAX_VALUE, new byte[] {66}));
          w.deliver(
              6,
              2,
              new GossipMessage(
                  GossipMessage.Kind.SYNC, 6, w.at(6).epoch(), 0, 0, 0, 0, List.of(beyond)));
          w.run(3000);
          assertTrue(allHear(w, 1, own), "seed " + w.seed);
        });
  }

  @Test
  void aConfiguredPeerThatNeverExistedIsKnownForDeadAndNobodyElse() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      World w = new World(6, seed, MembershipSettings.DEFAULT);
      w.kill(5);
      w.until(40_000, "never there", () -> w.allHold(5, MemberState.DEAD));
      nobodyCalledDead(w, 5);
    }
  }
}
