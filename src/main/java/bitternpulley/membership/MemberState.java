package bitternpulley.membership;

/** The state of a member in one instance's view. Admin answers carry the name of the constant. */
public enum MemberState {
  /** It answers probes, directly or through a relay. */
  ALIVE,
  /** It did not answer a probe and may still refute; it counts as active. */
  SUSPECT,
  /** It did not refute in time. */
  DEAD,
  /** It announced that it leaves. */
  LEFT
}
