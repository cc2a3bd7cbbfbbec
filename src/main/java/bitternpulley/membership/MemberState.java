package bitternpulley.membership;

/** The state of a member in one instance's view. Admin answers carry the name of the constant. */
public enum MemberState {
  /** The member answers probes, directly or through a relay. */
  ALIVE,
  /** The member did not answer a probe and may still refute the suspicion; it counts as active. */
  SUSPECT,
  /** The member did not refute the suspicion in time. */
  DEAD,
  /** The member announced that it was leaving. */
  LEFT
}
