package bitternpulley.membership;

/**
 * One member as an instance sees it.
 *
 * @param number the member
 * @param epoch epoch of the member's process, 0 if no process is known
 * @param state the member's state
 * @param metadata the member's metadata, or null if unknown
 * @param sinceStateChange ms since the member's state changed
 * @param sinceLastEvidence ms since the last evidence that the member runs; infinite if there was
 *     none
 * @param reachedIndirectly whether the member's last ack came through a relay
 * @param reachability which members this member reports as unreachable, and its payload
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
