package bitternpulley.net;

/** The order in which sessions are evicted when a server is near its maximum of connections. */
enum EvictionOrder {
  /** The client has sent nothing yet, or the server only waits for it to close its side. */
  SILENT,
  /** No request is in progress. */
  IDLE,
  /** A request is incomplete. */
  INCOMPLETE,
  /** The session is busy, or too young to be evicted. */
  NEVER
}
