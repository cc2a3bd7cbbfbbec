package bitternpulley.contracts;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Capacity reserved for rejected callers that were given a Retry-After: one reservation for each
 * caller, which is identified by the query's fingerprint. A caller that returns early is told to
 * wait until its reservation is due. A reservation expires {@link #GRACE_MS} after it is due.
 */
final class RetryReservations {
  /** Time until a due reservation expires, for delays of the client's timer and the network. */
  static final double GRACE_MS = 300;

  /** A caller may return this much too early, as the Retry-After that it received was rounded. */
  private static final double EARLY_TOLERANCE_MS = 5;

  /** The maximum number of reservations of one team; further callers are given no Retry-After. */
  private static final int MAX_RESERVATIONS = 256;

  private static final class Reservation {
    final long fingerprint;
    final double dueAt;
    final double amount;
    private boolean open = true;

    Reservation(long fingerprint, double dueAt, double amount) {
      this.fingerprint = fingerprint;
      this.dueAt = dueAt;
      this.amount = amount;
    }

    boolean isObsolete(double now) {
      return !open || now > dueAt + GRACE_MS;
    }

    /** Closes the reservation; returns whether it was open. */
    boolean close() {
      boolean wasOpen = open;
      open = false;
      return wasOpen;
    }
  }

  /** All reservations in the order of their due times; some may be closed. */
  private final ArrayDeque<Reservation> byDueTime = new ArrayDeque<>();

  private final Map<Long, Reservation> byFingerprint = new HashMap<>();
  private double reservedAmount;

  /**
   * Drops expired reservations; returns the number of standard parts that are reserved for rejected
   * callers.
   */
  double reservedAmount(double now) {
    while (!byDueTime.isEmpty() && byDueTime.peek().isObsolete(now)) {
      close(byDueTime.poll());
    }
    return reservedAmount;
  }

  /** The number of open reservations. */
  int size() {
    return byFingerprint.size();
  }

  /**
   * Milliseconds until a caller's reservation is due, 0 or less if it is due, NaN if there is none.
   * Called for each query, so no object is allocated for the result.
   */
  double remainingMs(long fingerprint, double now) {
    Reservation reservation = fingerprint == 0 ? null : byFingerprint.get(fingerprint);
    return reservation == null ? Double.NaN : reservation.dueAt - EARLY_TOLERANCE_MS - now;
  }

  /** Closes a caller's reservation, if there is one. */
  void release(long fingerprint) {
    Reservation reservation = byFingerprint.get(fingerprint);
    if (reservation != null) {
      close(reservation);
    }
  }

  /**
   * Reserves an amount for a caller that has no reservation. {@code dueAt} must not be earlier than
   * in previous calls. Returns false if the caller has no fingerprint or there are too many
   * reservations.
   */
  boolean reserve(long fingerprint, double dueAt, double amount) {
    if (byFingerprint.size() >= MAX_RESERVATIONS || fingerprint == 0) {
      return false;
    }
    Reservation reservation = new Reservation(fingerprint, dueAt, amount);
    byDueTime.add(reservation);
    byFingerprint.put(fingerprint, reservation);
    reservedAmount += amount;
    return true;
  }

  private void close(Reservation reservation) {
    if (reservation.close()) {
      byFingerprint.remove(reservation.fingerprint, reservation);
      reservedAmount = byFingerprint.isEmpty() ? 0 : reservedAmount - reservation.amount;
    }
  }
}
