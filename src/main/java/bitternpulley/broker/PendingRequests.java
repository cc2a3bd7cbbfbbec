package bitternpulley.broker;

import bitternpulley.contracts.UsageCharge;
import bitternpulley.routing.Router;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.IntStream;

/**
 * What the reducer holds of requests, their parts and the attempts that are out. It decides
 * nothing: {@link Reducer}, its one user, changes it as events ask.
 */
final class PendingRequests {
  /**
   * Ms before a client's end from which an end without an answer counts as out of time: more where
   * answers leave earlier.
   */
  private static final double LATE = 100;

  /** Share of a client's time that this takes at most: some wait for less. */
  private static final double LATE_SHARE = 0.25;

  private final Map<Long, Open> requests = new HashMap<>();
  private final Map<Long, Part> parts = new HashMap<>();
  private long nextPart = 1;
  private int partsHeld;

  /** A request without a final answer. */
  static final class Open {
    final Request request;

    /** Null where no contracts are in force. */
    final UsageCharge charge;

    final double endsAt;

    /** From when on an end without an answer counts as out of time. */
    final double lateFrom;

    final long firstPart;
    final TreeMap<Integer, Payload> values = new TreeMap<>();

    /** Whether it is looked at once more when its time is over. */
    boolean lapses;

    /** When an attempt of it is looked at for being overdue. */
    double overdueAt = Double.POSITIVE_INFINITY;

    private Open(
        Request request, UsageCharge charge, double endsAt, double lateFrom, long firstPart) {
      this.lateFrom = lateFrom;
      this.request = request;
      this.charge = charge;
      this.endsAt = endsAt;
      this.firstPart = firstPart;
    }

    int parts() {
      return request.parts().size();
    }
  }

  /** A part lives until its request is over and none of its attempts is out. */
  static final class Part {
    final Open open;
    final int slice;
    int sent;
    Out out;
    boolean mayHaveRun;

    /** When the first attempt that may have run was sent. */
    double mayRunFrom = Double.POSITIVE_INFINITY;

    Effect.Answer.MissingPart last = new Effect.Answer.MissingPart(null, null, null);

    private Part(Open open, int slice) {
      this.open = open;
      this.slice = slice;
    }
  }

  /** The attempt of a part that is out. */
  static final class Out {
    final AttemptId id;
    final String server;
    final double sentAt;
    final double dueAt;
    Router.Outcome given;

    Out(AttemptId id, String server, double sentAt, double dueAt) {
      this.id = id;
      this.server = server;
      this.sentAt = sentAt;
      this.dueAt = dueAt;
    }
  }

  /** Begins to hold a request, whose time is over after so many ms; its parts follow one by one. */
  Open hold(Request r, UsageCharge charge, double timeLeft, double now) {
    Open open =
        new Open(
            r,
            charge,
            now + timeLeft - r.lateness().unreadFor(),
            now + r.lateness().timeLeft(timeLeft, Math.min(LATE, LATE_SHARE * timeLeft)),
            nextPart);
    requests.put(r.id(), open);
    nextPart += open.parts();
    partsHeld += open.parts();
    return open;
  }

  /** Begins to hold a part, by its place in the request; its number is returned. */
  long holdPart(Open open, int place) {
    parts.put(open.firstPart + place, new Part(open, place));
    return open.firstPart + place;
  }

  /** Requests without a final answer. */
  Collection<Open> requests() {
    return requests.values();
  }

  /** The request of this number, or null. */
  Open request(long id) {
    return requests.get(id);
  }

  Collection<Part> parts() {
    return parts.values();
  }

  /** The part of this number, or null. */
  Part part(long id) {
    return parts.get(id);
  }

  /** The part at this place of a request, or null. */
  Part part(Open open, int place) {
    return parts.get(open.firstPart + place);
  }

  /**
   * Requests and those of their parts that are not in, as the site's limit counts them: a part that
   * is answered is over.
   */
  int count() {
    return requests.size() + partsHeld;
  }

  /** A part's value is in. */
  void in(Part p, Payload value) {
    if (p.open.values.put(p.slice, value) == null && !isOver(p)) {
      partsHeld--;
    }
  }

  boolean isOver(Part p) {
    return !requests.containsKey(p.open.request.id());
  }

  /** The attempt if it is out, or null. */
  Out out(AttemptId id) {
    Part p = parts.get(id.part());
    return p != null && p.out != null && p.out.id.equals(id) ? p.out : null;
  }

  /** The attempts of a request that are out and not given up. */
  List<Out> outOf(Open open) {
    return IntStream.range(0, open.parts())
        .mapToObj(i -> part(open, i))
        .filter(p -> p != null && p.out != null && p.out.given == null)
        .map(p -> p.out)
        .toList();
  }

  /** The request that an attempt is of, if that is known. */
  Optional<Long> requestOf(AttemptId attempt) {
    return Optional.ofNullable(parts.get(attempt.part())).map(p -> p.open.request.id());
  }

  /** Ends a request here; null where it has ended before. */
  Open forget(long id) {
    Open open = requests.remove(id);
    if (open != null) {
      partsHeld -= open.parts() - open.values.size();
      for (int i = 0; i < open.parts(); i++) {
        tidy(open.firstPart + i);
      }
    }
    return open;
  }

  /** Drops a part of which nothing is out and whose request is over. */
  void tidy(long part) {
    Part p = parts.get(part);
    if (p != null && p.out == null && isOver(p)) {
      parts.remove(part);
    }
  }

  /** How things stand with a request that is to end without an answer. */
  Effect.Answer.Ending ending(Open open, double now) {
    TreeMap<Integer, Effect.Answer.MissingPart> missing = new TreeMap<>();
    boolean mayHaveRun = false;
    for (int i = 0; i < open.parts(); i++) {
      Part p = part(open, i);
      if (p != null && !open.values.containsKey(i)) {
        missing.put(
            i, p.out == null ? p.last : new Effect.Answer.MissingPart(null, p.out.server, null));
      }
      mayHaveRun |= p != null && (p.mayHaveRun || p.out != null);
    }
    // Given up a little earlier, since nothing could come in time any more, it is out of time all
    // the same.
    boolean unanswered =
        !missing.isEmpty()
            && missing.values().stream()
                .allMatch(
                    m ->
                        m.outcome() == Router.Outcome.TIMEOUT
                            || m.outcome() == Router.Outcome.CANCELLED);
    return new Effect.Answer.Ending(unanswered || now >= open.lateFrom, mayHaveRun, missing);
  }
}
