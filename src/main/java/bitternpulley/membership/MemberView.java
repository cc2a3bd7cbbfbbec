package bitternpulley.membership;

/**
 * One member as an instance holds it; times are ms ago, infinite where never; {@code reachability}
 * is what it tells of itself.
 */
public record MemberView(
    int number,
    long epoch,
    MemberState state,
    MemberMetadata metadata,
    double since,
    double heardFrom,
    boolean byOthers,
    ReachabilityReport reachability) {
  static MemberView of(Member m, double now) {
    return new MemberView(
        m.number,
        m.epoch,
        m.standing,
        m.card,
        now - m.since,
        now - m.heardAt,
        m.byOthers,
        ReachabilityReport.of(m.slot));
  }
}
