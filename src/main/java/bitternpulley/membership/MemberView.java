package bitternpulley.membership;

/**
 * One member in an instance's view.
 *
 * @param number the member
 * @param epoch start of its process, 0 where no process of it is known
 * @param state its state
 * @param metadata its metadata, or null where that is unknown
 * @param sinceStateChange ms since its state changed
 * @param sinceLastEvidence ms since the last evidence that it runs, infinite where there was none
 * @param reachedIndirectly whether its last answer came through a relay
 * @param reachability which members it reports as unreachable, and its payload
 */
public record MemberView(
    int number,
    long epoch,
    MemberState state,
    MemberMetadata metadata,
    double sinceStateChange,
    double sinceLastEvidence,
    boolean reachedIndirectly,
    ReachabilityReport reachability) {
  static MemberView of(Member member, double now) {
    return new MemberView(
        member.number(),
        member.epoch(),
        member.state(),
        member.metadata(),
        now - member.stateChangedAt(),
        now - member.lastEvidenceAt(),
        member.isReachedIndirectly(),
        ReachabilityReport.of(member.payload()));
  }
}
