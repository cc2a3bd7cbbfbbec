package bitternpulley.policy;

/** Where a query stands between its arrival and its final answer. */
enum QueryPhase {
  /** Its parts are still to arrive, or it waits to be admitted. */
  AWAITING_PARTS,
  /** The parts of its current step are being answered. */
  ADMITTED,
  /** Its final answer is given, or its client is disconnected. */
  FINISHED
}
