package bitternpulley.policy;

import bitternpulley.health.ClientRetryDetector;
import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import java.util.ArrayList;
import java.util.List;

/** Creates the state of a query that arrives, with its deadlines. */
final class QueryIntake {
  /**
   * Number of ticks before a deadline at which an answer is sent, to allow for the time of the
   * decision and of the transmission to the client.
   */
  private static final double LEAD_TICKS = 3;

  private final Settings settings;
  private final double leadMs;
  private final List<ClientRetryDetector> retryDetectors = new ArrayList<>();

  QueryIntake(Settings settings) {
    this.settings = settings;
    this.leadMs = LEAD_TICKS * settings.tick();
    settings.classes().forEach(queryClass -> retryDetectors.add(new ClientRetryDetector()));
  }

  /** The state of a query that has just arrived. */
  QueryState accept(Router.Query query, double now) {
    Settings.QueryClass queryClass =
        query.terms().applyTo(settings.classes().get(query.queryClass()));
    Router.Lateness lateness = query.lateness();
    double objective = objective(query, queryClass) - (lateness.unreadFor() + leadMs);
    double answerDeadline = now + lateness.timeLeft(query.timeLeft(), leadMs);
    double objectiveDeadline = Math.min(now + objective, answerDeadline);
    return new QueryState(query, queryClass, now, objectiveDeadline, answerDeadline);
  }

  /** Ms from now to the latency objective, which counts from the client's first attempt. */
  private double objective(Router.Query query, Settings.QueryClass queryClass) {
    double objective =
        Math.min(
            queryClass.latencyObjective() + queryClass.objectiveStretch() * query.estimatedWork(),
            queryClass.deadline());
    return isClientRetry(query)
        ? objective - (queryClass.deadline() - query.timeLeft())
        : objective;
  }

  private boolean isClientRetry(Router.Query query) {
    return !query.terms().clientSetTimeout()
        && retryDetectors.get(query.queryClass()).recordAndClassify(query.timeLeft());
  }
}
