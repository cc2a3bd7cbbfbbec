package bitternpulley.net;

/**
 * The heap that the current exchange of a connection occupies: its request while it is in progress,
 * then its response until the kernel has taken it.
 */
final class ExchangeMemory implements ClientMemoryBudget.Holder {
  /** A client that has not read anything for this long makes room for others. */
  private static final double STALLED_AFTER_MS = 500;

  /** Smaller bodies are not reserved: the limit on pending queries bounds them. */
  private static final int MIN_RESERVED_BODY_BYTES = 4 * 1024;

  /** A request is kept as its text and as what has been decoded from it. */
  private static final int REQUEST_COPIES = 2;

  private final ClientMemoryBudget budget;
  private final Connection connection;
  private long requestBytes;
  private long recordedBytes;

  ExchangeMemory(ClientMemoryBudget budget, Connection connection) {
    this.budget = budget;
    this.connection = connection;
  }

  /** Reserves memory for a request; returns false if there is not enough. */
  boolean reserveRequest(int bodyBytes) {
    if (bodyBytes < MIN_RESERVED_BODY_BYTES) {
      return true;
    }
    long bytes = (long) REQUEST_COPIES * bodyBytes;
    if (!budget.reserve(this, bytes)) {
      return false;
    }
    requestBytes = bytes;
    recordedBytes = bytes;
    return true;
  }

  /** Records that the request is answered. */
  void requestAnswered() {
    requestBytes = 0;
    update();
  }

  /** Records what the exchange occupies now. */
  void update() {
    long bytes = connection.isClosed() ? 0 : requestBytes + connection.unwrittenBytes();
    if (bytes != recordedBytes) {
      recordedBytes = bytes;
      budget.record(this, bytes);
    }
  }

  @Override
  public ClientMemoryBudget.ReleaseOrder releaseOrder() {
    if (connection.isClosed() || connection.hasWrittenAll()) {
      return ClientMemoryBudget.ReleaseOrder.NEVER;
    }
    return connection.msSinceWriteProgress() > STALLED_AFTER_MS
        ? ClientMemoryBudget.ReleaseOrder.STALLED
        : ClientMemoryBudget.ReleaseOrder.SENDING;
  }

  /** Closes the connection, whose client cannot be told anything but by the response it awaits. */
  @Override
  public void release() {
    recordedBytes = 0;
    connection.close();
  }
}
