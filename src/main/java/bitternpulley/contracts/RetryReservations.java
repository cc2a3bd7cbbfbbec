package bitternpulley.contracts;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Capacity reserved for rejected callers that were given a Retry-After: one reservation for each
 * caller, who is known by the query's fingerprint. A caller that returns early is given the rest of
 * the same time. A reservation expires {@link #GRACE_MS} after its time.
 */
final class RetryReservations {
  /** Ms for which a reservation outlasts its time: for the client's timer and the network. */
  static final double GRACE_MS = 300;

  /** Ms before its time from which a caller is on time: the time it received was rounded. */
  private static final double EARLY_TOLERANCE_MS = 5;

  /** The most reservations of one team; beyond, its callers are given no time. */
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

  private final ArrayDeque<Reservation> byTime = new ArrayDeque<>();
  private final Map<Long, Reservation> byFingerprint = new HashMap<>();
  private double reservedAmount;

  /** Standard parts reserved for callers that have not returned, once expired ones are dropped. */
  double reservedAmount(double now) {
    while (!byTime.isEmpty() && byTime.peek().isObsolete(now)) {
      close(byTime.poll());
    }
    return reservedAmount;
  }

  /** The number of open reservations. */
  int size() {
    return byFingerprint.size();
  }

  /**
   * Ms until a caller's reservation is due, 0 or less if it is, NaN if there is none. Every query
   * asks, so no object is allocated for the answer.
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
   * Reserves an amount for a caller without a reservation from a time on, no earlier than those
   * before; returns false if the caller has no fingerprint or there are too many reservations.
   */
  boolean reserve(long fingerprint, double dueAt, double amount) {
    if (byFingerprint.size() >= MAX_RESERVATIONS || fingerprint == 0) {
      return false;
    }
    Reservation reservation = new Reservation(fingerprint, dueAt, amount);
    byTime.add(reservation);
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
