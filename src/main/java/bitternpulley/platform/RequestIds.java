package bitternpulley.platform;

import bitternpulley.broker.Effect.Answer;
import bitternpulley.routing.Settings;
import bitternpulley.routing.Settings.Idempotency;
import java.util.HashSet;
import java.util.Set;

/**
 * Decides whether a request may begin under its id. The ids of parts are derived from it, so no
 * request begins while parts of an earlier one with the same id may be at their servers, in this
 * process or in another one of a hot restart; one of a class that must not run twice does not begin
 * for some time after the earlier one, either.
 */
final class RequestIds {
  /** Time for which an id is kept after a request that must not run twice may have run. */
  private static final double KEEP_NON_IDEMPOTENT_MS = 60_000;

  /** Time after the deadline of a request until its attempts have ended at their servers. */
  private static final double KEEP_AFTER_DEADLINE_MS = 500;

  private final Settings settings;
  private final RequestIdTable table;

  /** Ids of the requests of this process that have no final answer yet and whose client waits. */
  private final Set<String> pending = new HashSet<>();

  RequestIds(Settings settings, RequestIdTable table) {
    this.settings = settings;
    this.table = table;
  }

  /** Begins a request; returns false if an earlier one has the same id. */
  boolean begin(PlatformQuery query) {
    if (pending.contains(query.id()) || !table.add(query.id(), keepMs(query))) {
      return false;
    }
    pending.add(query.id());
    return true;
  }

  /** Ends a request whose client has disconnected; its attempts may still be at their servers. */
  void clientDisconnected(PlatformQuery query) {
    pending.remove(query.id());
    table.keep(query.id(), keepMs(query));
  }

  /** Ends a request that is answered. */
  void answered(PlatformQuery query, Answer answer) {
    pending.remove(query.id());
    boolean mayBeginAgain =
        isNonIdempotent(query) ? !mayHaveRun(answer) : !mayHaveAttemptsInFlight(answer);
    table.keep(query.id(), mayBeginAgain ? 0 : keepMs(query));
  }

  private double keepMs(PlatformQuery query) {
    return isNonIdempotent(query)
        ? KEEP_NON_IDEMPOTENT_MS
        : query.timeLeft() + KEEP_AFTER_DEADLINE_MS;
  }

  private boolean isNonIdempotent(PlatformQuery query) {
    return settings.classes().get(query.queryClass()).idempotency() == Idempotency.NON_IDEMPOTENT;
  }

  private static boolean mayHaveRun(Answer answer) {
    if (answer instanceof Answer.Rejected rejected) {
      return rejected.finalState().mayHaveRun();
    }
    return !(answer instanceof Answer.Failed failed) || failed.finalState().mayHaveRun();
  }

  private static boolean mayHaveAttemptsInFlight(Answer answer) {
    return answer instanceof Answer.Answered answered
        ? !answered.missing().isEmpty()
        : mayHaveRun(answer);
  }
}
