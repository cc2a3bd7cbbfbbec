package bitternpulley.membership;

/** The probes of this instance in progress: at most one of the round, and one check out of turn. */
final class ActiveProbes {
  private Probe roundProbe;
  private Probe check;

  /** The probe of the round; null where none is in progress. */
  Probe roundProbe() {
    return roundProbe;
  }

  /** The check out of turn; null where none is in progress. */
  Probe check() {
    return check;
  }

  void startRoundProbe(Probe probe) {
    roundProbe = probe;
  }

  void startCheck(Probe probe) {
    check = probe;
  }

  /** Ends a probe that was answered or has failed. */
  void finish(Probe probe) {
    roundProbe = probe == roundProbe ? null : roundProbe;
    check = probe == check ? null : check;
  }

  /** Drops both, so that their answers are not awaited. */
  void clear() {
    roundProbe = null;
    check = null;
  }

  /** The probe of this sequence number; null where none is in progress. */
  Probe find(int sequence) {
    if (roundProbe != null && roundProbe.sequence() == sequence) {
      return roundProbe;
    }
    return check != null && check.sequence() == sequence ? check : null;
  }

  boolean isProbing(Member member) {
    return (roundProbe != null && roundProbe.target() == member) || isChecking(member);
  }

  boolean isChecking(Member member) {
    return check != null && check.target() == member;
  }
}
