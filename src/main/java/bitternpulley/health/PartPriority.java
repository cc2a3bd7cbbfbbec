package bitternpulley.health;

/** How urgently a part needs a server's capacity. */
public enum PartPriority {
  /** The query cannot be answered in time without the part. */
  URGENT,
  /** The part can only contribute to a late answer, or a partial answer is possible without it. */
  DEFERRABLE
}
