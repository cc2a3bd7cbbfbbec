package bitternpulley.net;

import java.lang.System.Logger.Level;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Bounds the heap that something kept for clients occupies, for all clients together. Beyond the
 * bound, the holder that occupies most is released, so that clients with small requests are served
 * whatever the others send. All calls are made in turns of the event loop.
 */
public final class ClientMemoryBudget {
  private static final System.Logger LOG = System.getLogger(ClientMemoryBudget.class.getName());

  /** Bound for incomplete requests: an eighth of the heap with which the program is deployed. */
  private static final long MAX_INCOMING_BYTES = 5 << 20;

  /**
   * Share of the heap for requests in progress and their answers. What is kept for a request is
   * copied when it is encoded or parsed, so that the rest of the heap has to hold it once more.
   */
  private static final double MAX_IN_PROGRESS_SHARE = 0.3;

  /** Minimum time between two warnings. */
  private static final double WARNING_INTERVAL_MS = 60_000;

  /** The order in which holders are released; of two with the same order, the larger is first. */
  public enum ReleaseOrder {
    /** Waits for a client that has not read anything for some time. */
    STALLED,
    /** Can be rejected. */
    PENDING,
    /** Is being sent to a client that reads. */
    SENDING,
    /** Cannot be released. */
    NEVER
  }

  /** Something that is kept for a client. */
  public interface Holder {
    /** Returns when {@link #release} may be called. */
    ReleaseOrder releaseOrder();

    /** Releases what is kept and notifies the client, if that is possible. */
    void release();
  }

  private final EventLoop loop;
  private final String contents;
  private final long maxBytes;
  private final Map<Holder, Long> heldBytes = new HashMap<>();
  private long totalBytes;
  private double nextWarningAt = Double.NEGATIVE_INFINITY;

  /**
   * Creates a budget.
   *
   * @param loop the event loop
   * @param contents what the budget bounds, for the log
   * @param maxBytes the bound in bytes of heap
   */
  ClientMemoryBudget(EventLoop loop, String contents, long maxBytes) {
    this.loop = loop;
    this.contents = contents;
    this.maxBytes = maxBytes;
  }

  /** Creates the budget for incomplete requests and requests sent ahead. */
  static ClientMemoryBudget forIncomingRequests(EventLoop loop) {
    return new ClientMemoryBudget(loop, "incomplete requests", MAX_INCOMING_BYTES);
  }

  /** Creates the budget for requests in progress, until their answers are sent. */
  static ClientMemoryBudget forRequestsInProgress(EventLoop loop) {
    long maxBytes = (long) (MAX_IN_PROGRESS_SHARE * Runtime.getRuntime().maxMemory());
    return new ClientMemoryBudget(loop, "requests in progress", maxBytes);
  }

  /** Returns the bound in bytes of heap. */
  public long maxBytes() {
    return maxBytes;
  }

  /**
   * Records what a new holder is expected to occupy, unless that exceeds the budget. Clients that
   * do not read their answers make room first.
   *
   * @return whether it was recorded
   */
  public boolean reserve(Holder holder, long bytes) {
    while (totalBytes + bytes > maxBytes && releaseLargest(ReleaseOrder.STALLED)) {
      // Each pass releases one holder.
    }
    if (totalBytes + bytes > maxBytes) {
      warn();
      return false;
    }
    record(holder, bytes);
    return true;
  }

  /**
   * Records how many bytes of heap a holder occupies now. If that exceeds the budget, the largest
   * holders are released at the end of the turn.
   */
  public void record(Holder holder, long bytes) {
    Long before = bytes == 0 ? heldBytes.remove(holder) : heldBytes.put(holder, bytes);
    totalBytes += bytes - (before == null ? 0 : before);
    while (totalBytes > maxBytes && releaseLargest(ReleaseOrder.SENDING)) {
      // Each pass releases one holder.
    }
  }

  /** Releases the largest holder of the first release order up to {@code last}. */
  private boolean releaseLargest(ReleaseOrder last) {
    Optional<Holder> largest =
        heldBytes.entrySet().stream()
            .filter(entry -> entry.getKey().releaseOrder().compareTo(last) <= 0)
            .min(
                Comparator.comparing(
                        (Map.Entry<Holder, Long> entry) -> entry.getKey().releaseOrder())
                    .thenComparing(Map.Entry.<Holder, Long>comparingByValue().reversed()))
            .map(Map.Entry::getKey);
    largest.ifPresent(this::release);
    return largest.isPresent();
  }

  private void release(Holder holder) {
    totalBytes -= heldBytes.remove(holder);
    warn();
    loop.execute(holder::release);
  }

  private void warn() {
    if (loop.now() >= nextWarningAt) {
      nextWarningAt = loop.now() + WARNING_INTERVAL_MS;
      LOG.log(
          Level.WARNING,
          "Rejecting clients whose "
              + contents
              + " occupy most memory; limit for all clients: "
              + maxBytes
              + " bytes");
    }
  }

  /** Returns how many bytes of heap all holders occupy. */
  long totalBytes() {
    return totalBytes;
  }
}
