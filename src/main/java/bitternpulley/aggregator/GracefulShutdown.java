package bitternpulley.aggregator;

import bitternpulley.config.Configuration;
import bitternpulley.routing.Settings;
import java.lang.System.Logger.Level;
import java.util.concurrent.CountDownLatch;

/**
 * Shuts the process down: it leaves the fleet, accepts clients for a further grace period, answers
 * all accepted requests and exits with status 0.
 */
final class GracefulShutdown {
  private static final System.Logger LOG = System.getLogger(GracefulShutdown.class.getName());

  /**
   * Milliseconds after SIGTERM in which connections are still accepted, because clients continue to
   * connect until the platform has noticed that the process is draining.
   */
  static final double GRACE_PERIOD_MS = 450;

  private static final double IDLE_CHECK_INTERVAL_MS = 20;

  /**
   * Milliseconds after the longest deadline at which the process exits even if clients have not
   * closed their connections, but not while a response is pending. Slightly before the platform may
   * kill the process.
   */
  private static final double EXIT_AFTER_DEADLINE_MS = 650;

  /** The platform counts the longest deadline as at most this many milliseconds. */
  private static final double MAX_COUNTED_DEADLINE_MS = 3000;

  private final ServiceContext context;
  private final ServiceState state;
  private final ClientHttpServers httpServers;
  private final MembershipSubsystem membership;
  private final HotRestart hotRestart;
  private final CountDownLatch drained = new CountDownLatch(1);

  GracefulShutdown(
      ServiceContext context,
      ServiceState state,
      ClientHttpServers httpServers,
      MembershipSubsystem membership,
      HotRestart hotRestart) {
    this.context = context;
    this.state = state;
    this.httpServers = httpServers;
    this.membership = membership;
    this.hotRestart = hotRestart;
  }

  /** The longest deadline of all query classes, in milliseconds. */
  static double longestDeadlineMs(Configuration configuration) {
    return configuration.settings().classes().stream()
        .mapToDouble(Settings.QueryClass::deadline)
        .max()
        .orElse(0);
  }

  /** Drains and exits. Blocks the calling thread, which must not be the loop thread. */
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
    httpServers.drain();
    membership.leave();
    if (context.configuration().processSettings().passedSocket()) {
      httpServers.stopAcceptingOnInheritedSocket();
      hotRestart.onDraining();
    }
    // If the start still waits for discovery, its backlog is served with the stored list.
    httpServers.acceptConnections();
    double countedDeadlineMs =
        Math.min(MAX_COUNTED_DEADLINE_MS, longestDeadlineMs(context.configuration()));
    double exitTime = context.clock().now() + countedDeadlineMs + EXIT_AFTER_DEADLINE_MS;
    context
        .timer()
        .schedule(
            GRACE_PERIOD_MS,
            () -> {
              httpServers.stopListening();
              awaitIdle(exitTime);
            });
  }

  /**
   * Waits until all responses are written and, until the exit time, also until all clients have
   * closed their connections.
   */
  private void awaitIdle(double exitTime) {
    boolean answered = context.broker().pendingRequests() == 0 && httpServers.allAnswered();
    if (answered && (context.clock().now() >= exitTime || httpServers.allIdle())) {
      drained.countDown();
    } else {
      context.timer().schedule(IDLE_CHECK_INTERVAL_MS, () -> awaitIdle(exitTime));
    }
  }
}
