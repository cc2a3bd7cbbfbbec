package bitternpulley.membership;

/**
 * What a member is taken to be. A suspect still counts as here, for all that is to err to the safe
 * side.
 */
public enum MemberState {
  ALIVE,
  SUSPECT,
  DEAD,
  LEFT
}
