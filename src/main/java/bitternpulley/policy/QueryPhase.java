package bitternpulley.policy;

/** The phase of a query between its arrival and its final answer. */
enum QueryPhase {
  /** The query waits for its parts to arrive or to be admitted. */
  AWAITING_PARTS,
  /** The parts of the current step are being answered. */
  ADMITTED,
  /** The query was answered, rejected or failed, or its client has disconnected. */
  FINISHED
}
