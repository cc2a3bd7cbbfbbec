package bitternpulley.aggregator;

import bitternpulley.config.Configuration;
import bitternpulley.routing.Settings;
import java.lang.System.Logger.Level;
import java.util.concurrent.CountDownLatch;

/**
 * Ends the process: it leaves the fleet, goes on to accept clients for a grace period, answers all
 * that it has accepted, and exits with status 0.
 */
final class GracefulShutdown {
  private static final System.Logger LOG = System.getLogger(GracefulShutdown.class.getName());

  /**
   * Ms after SIGTERM for which connections are still accepted: clients go on to connect until the
   * platform's front has noticed that the process drains.
   */
  static final double GRACE_MS = 450;

  private static final double IDLE_CHECK_INTERVAL_MS = 20;

  /**
   * The platform may kill the process this many ms after the longest deadline, of which it counts
   * {@link #MAX_COUNTED_DEADLINE_MS} at most. The process exits a little earlier by itself, unless
   * a response is still owed.
   */
  private static final double KILL_AFTER_DEADLINE_MS = 650;

  private static final double MAX_COUNTED_DEADLINE_MS = 3000;

  private final ServiceContext context;
  private final ServiceState state;
  private final Fronts fronts;
  private final MembershipSubsystem membership;
  private final HotRestart hotRestart;
  private final CountDownLatch drained = new CountDownLatch(1);

  GracefulShutdown(
      ServiceContext context,
      ServiceState state,
      Fronts fronts,
      MembershipSubsystem membership,
      HotRestart hotRestart) {
    this.context = context;
    this.state = state;
    this.fronts = fronts;
    this.membership = membership;
    this.hotRestart = hotRestart;
  }

  /** The longest deadline of a query class, in ms. */
  static double longestDeadlineMs(Configuration configuration) {
    return configuration.settings().classes().stream()
        .mapToDouble(Settings.QueryClass::deadline)
        .max()
        .orElse(0);
  }

  /** Drains and exits; blocks its caller, which must not be the loop's thread. */
  void run() {
    context.loop().execute(this::drain);
    try {
      drained.await();
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
    System.exit(0);
  }

  private void drain() {
    if (!state.startDraining()) {
      return;
    }
    LOG.log(Level.INFO, "Draining: graceful shutdown started");
    fronts.drain();
    membership.leave();
    if (context.site().operations().passedSocket()) {
      fronts.leavePassedSocket();
      hotRestart.onDraining();
    }
    // A start that still waits for discovery ends here: its backlog is served by the stored list.
    fronts.acceptConnections();
    double countedDeadline = Math.min(MAX_COUNTED_DEADLINE_MS, longestDeadlineMs(context.site()));
    double exitTime = context.clock().now() + countedDeadline + KILL_AFTER_DEADLINE_MS;
    context
        .timer()
        .after(
            GRACE_MS,
            () -> {
              fronts.stopListening();
              awaitIdle(exitTime);
            });
  }

  /** From the exit time on, only responses are awaited, and no longer the clients' closes. */
  private void awaitIdle(double exitTime) {
    boolean answered = context.broker().pendingRequests() == 0 && fronts.allAnswered();
    if (answered && (context.clock().now() >= exitTime || fronts.allIdle())) {
      drained.countDown();
    } else {
      context.timer().after(IDLE_CHECK_INTERVAL_MS, () -> awaitIdle(exitTime));
    }
  }
}
