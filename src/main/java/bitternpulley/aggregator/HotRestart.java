package bitternpulley.aggregator;

import bitternpulley.broker.Event;
import bitternpulley.routing.Router.HotRestartRole;

/**
 * Informs the broker whether another process of this aggregator may be serving, as is the case
 * while one process takes over the listening socket from the other.
 */
final class HotRestart {
  private final ServiceContext context;
  private final ServiceState state;

  /**
   * Milliseconds for which a replaced process may still send after this process started to listen.
   */
  private final double maxPredecessorLifetimeMs;

  HotRestart(ServiceContext context, ServiceState state) {
    this.context = context;
    this.state = state;
    maxPredecessorLifetimeMs =
        GracefulShutdown.GRACE_PERIOD_MS
            + GracefulShutdown.longestDeadlineMs(context.configuration());
  }

  /**
   * Assumes that this process replaces another one, because it cannot determine whether it does.
   * The deadlines of all requests that the replaced process accepted have passed after its grace
   * period plus the longest deadline.
   */
  void onListening() {
    context.broker().submit(new Event.HotRestartRoleChanged(HotRestartRole.PREDECESSOR));
    context.timer().schedule(maxPredecessorLifetimeMs, this::onPredecessorGone);
  }

  /** Reports that new connections go to the process that takes over. */
  void onDraining() {
    context.broker().submit(new Event.HotRestartRoleChanged(HotRestartRole.SUCCESSOR));
  }

  private void onPredecessorGone() {
    HotRestartRole role = state.isDraining() ? HotRestartRole.SUCCESSOR : HotRestartRole.NONE;
    context.broker().submit(new Event.HotRestartRoleChanged(role));
  }
}
