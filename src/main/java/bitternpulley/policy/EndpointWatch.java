package bitternpulley.policy;

import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import java.util.Random;

/**
 * Requests the endpoint list at sites whose discovery sends it on request only. A failed request is
 * repeated with exponential backoff.
 */
final class EndpointWatch {
  private static final double INITIAL_BACKOFF_MS = 500;
  private static final double MAX_BACKOFF_MS = 4000;

  private final Settings settings;
  private final Random random;
  private double backoffMs = INITIAL_BACKOFF_MS;

  EndpointWatch(Settings settings, Random random) {
    this.settings = settings;
    this.random = random;
  }

  void start(Router.Actions out) {
    if (settings.endpointsOnRequest()) {
      out.watchEndpoints();
    }
  }

  /** Schedules another request after the last one failed. */
  void recordFailure(double now, Router.Actions out) {
    if (settings.endpointsOnRequest()) {
      out.scheduleAlarm(now + backoffMs * (1 + random.nextDouble()), AlarmTokens.WATCH_ENDPOINTS);
      backoffMs = Math.min(2 * backoffMs, MAX_BACKOFF_MS);
    }
  }

  /** Resets the backoff after a list from discovery. */
  void recordSuccess() {
    backoffMs = INITIAL_BACKOFF_MS;
  }
}
