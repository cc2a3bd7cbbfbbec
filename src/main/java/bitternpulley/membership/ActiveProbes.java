package bitternpulley.membership;

/**
 * The probes that this instance has in progress: at most one round probe and at most one check,
 * which is a probe outside the round.
 */
final class ActiveProbes {
  private Probe roundProbe;
  private Probe check;

  /** The round probe in progress; null if there is none. */
  Probe roundProbe() {
    return roundProbe;
  }

  /** The check in progress; null if there is none. */
  Probe check() {
    return check;
  }

  void startRoundProbe(Probe probe) {
    roundProbe = probe;
  }

  void startCheck(Probe probe) {
    check = probe;
  }

  /** Removes a probe that was answered or has failed. */
  void finish(Probe probe) {
    roundProbe = probe == roundProbe ? null : roundProbe;
    check = probe == check ? null : check;
  }

  /** Drops both probes; their answers will be ignored. */
  void clear() {
    roundProbe = null;
    check = null;
  }

  /** The probe in progress with this sequence number; null if there is none. */
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
