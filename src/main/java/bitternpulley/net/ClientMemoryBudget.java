package bitternpulley.net;

import java.lang.System.Logger.Level;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Bounds the heap that all clients together can occupy without a request in progress: with
 * incomplete requests, with requests sent ahead and with responses that they do not read. Beyond
 * the bound, the client that occupies most is rejected, so that clients with small requests are
 * served whatever the others send. All calls are made in turns of the event loop.
 */
public final class ClientMemoryBudget {
  private static final System.Logger LOG = System.getLogger(ClientMemoryBudget.class.getName());

  /** An eighth of the heap with which the program is deployed. */
  private static final long DEFAULT_MAX_BYTES = 5 << 20;

  /** Minimum time between two warnings. */
  private static final double WARNING_INTERVAL_MS = 60_000;

  /** A client connection. */
  interface Holder {
    /** Returns whether {@link #release} would release anything now. */
    boolean canRelease();

    /** Releases what the connection occupies and tells its client, if that is possible. */
    void release();
  }

  private final EventLoop loop;
  private final long maxBytes;
  private final Map<Holder, Long> heldBytes = new HashMap<>();
  private long totalBytes;
  private double nextWarningAt = Double.NEGATIVE_INFINITY;

  /** Creates a budget for all servers of a process. */
  public ClientMemoryBudget(EventLoop loop) {
    this(loop, DEFAULT_MAX_BYTES);
  }

  /** Creates a budget with another bound. */
  ClientMemoryBudget(EventLoop loop, long maxBytes) {
    this.loop = loop;
    this.maxBytes = maxBytes;
  }

  /**
   * Records how many bytes of heap a connection occupies now. If that exceeds the budget, the
   * largest connections are released at the end of the turn.
   */
  void record(Holder holder, long bytes) {
    Long before = bytes == 0 ? heldBytes.remove(holder) : heldBytes.put(holder, bytes);
    totalBytes += bytes - (before == null ? 0 : before);
    boolean hasReleased = true;
    while (totalBytes > maxBytes && hasReleased) {
      hasReleased = releaseLargest();
    }
  }

  private boolean releaseLargest() {
    Optional<Holder> largest =
        heldBytes.entrySet().stream()
            .filter(entry -> entry.getKey().canRelease())
            .max(Comparator.comparingLong(Map.Entry::getValue))
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
          "Rejecting clients whose incomplete requests occupy most memory; limit for all clients: "
              + maxBytes
              + " bytes");
    }
  }

  /** Returns how many bytes of heap all connections occupy. */
  long totalBytes() {
    return totalBytes;
  }
}
