package bitternpulley.opensearch;

import bitternpulley.net.ClientMemoryBudget;
import java.util.HashMap;
import java.util.Map;

/**
 * The heap that one search occupies, from its admission until its response is sent: its body, the
 * answers of its parts while they are received, and the merged hits. Parts that have not arrived
 * count with what they are expected to occupy, so that no more searches are admitted than can be
 * answered.
 */
final class SearchMemory implements ClientMemoryBudget.Holder {
  /** The merged hits, and once more the response that is made of them. */
  private static final int MERGED_COPIES = 2;

  /** Maximum share of the budget that is reserved for one search; what it occupies may be more. */
  private static final double MAX_RESERVED_SHARE = 0.5;

  private final ClientMemoryBudget budget;
  private final Runnable onRelease;
  private final long requestBytes;
  private final long expectedPartBytes;
  private final Map<Integer, Integer> receivingBytes = new HashMap<>();
  private int missingParts;
  private long mergedBytes;
  private boolean answered;
  private boolean closed;

  /**
   * Creates the account of a search.
   *
   * @param budget the budget for requests in progress
   * @param requestBytes the heap that the search's own text occupies
   * @param partCount the number of its parts
   * @param expectedPartBytes what the answer of a part is expected to occupy
   * @param onRelease rejects the search, because it occupies too much
   */
  SearchMemory(
      ClientMemoryBudget budget,
      long requestBytes,
      int partCount,
      long expectedPartBytes,
      Runnable onRelease) {
    this.budget = budget;
    this.requestBytes = requestBytes;
    this.missingParts = partCount;
    this.expectedPartBytes =
        Math.min(expectedPartBytes, (long) (MAX_RESERVED_SHARE * budget.maxBytes() / partCount));
    this.onRelease = onRelease;
  }

  /** Reserves what the search is expected to occupy; returns false if there is not enough. */
  boolean reserve() {
    return budget.reserve(this, heapBytes());
  }

  /** Records what the answer of a part occupies while it is received; 0 once it has ended. */
  void receiving(int partIndex, int bytes) {
    if (bytes == 0) {
      receivingBytes.remove(partIndex);
    } else {
      receivingBytes.put(partIndex, bytes);
    }
    update();
  }

  /** Records that a part has arrived, and what all merged hits occupy. */
  void merged(long bytes) {
    missingParts--;
    mergedBytes = bytes;
    update();
  }

  /** Records that the search is answered; it cannot be rejected any more. */
  void answered() {
    answered = true;
    missingParts = 0;
    update();
  }

  /** Releases everything, because the response is sent or the client has disconnected. */
  void close() {
    closed = true;
    update();
  }

  /** Returns whether the search still awaits its answer. */
  boolean isPending() {
    return !answered && !closed;
  }

  private void update() {
    budget.record(this, heapBytes());
  }

  /** Answers of parts may still be received after the search has ended. */
  private long heapBytes() {
    long received = receivingBytes.values().stream().mapToLong(Integer::longValue).sum();
    if (closed) {
      return received;
    }
    return requestBytes
        + Math.max(received, expectedPartBytes * missingParts)
        + MERGED_COPIES * mergedBytes;
  }

  @Override
  public ClientMemoryBudget.ReleaseOrder releaseOrder() {
    return isPending()
        ? ClientMemoryBudget.ReleaseOrder.PENDING
        : ClientMemoryBudget.ReleaseOrder.NEVER;
  }

  @Override
  public void release() {
    if (isPending()) {
      close();
      onRelease.run();
    }
  }
}
