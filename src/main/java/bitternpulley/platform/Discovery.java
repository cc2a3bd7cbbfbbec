package bitternpulley.platform;

import bitternpulley.config.EndpointList;
import bitternpulley.net.EventLoop;
import bitternpulley.net.HostPort;
import java.lang.System.Logger.Level;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Future;
import java.util.function.Consumer;

/**
 * Client of service discovery that keeps watching: after a watch ends or falls silent, another one
 * resumes from the last revision received.
 *
 * <p>A watch that is unanswered is not given up when the next one is opened beside it, because
 * discovery may only be slow. The first line that arrives on any of them, a list or a blank line,
 * makes that watch the active one and closes the others. It does not matter which of them was
 * opened first: each asked for the changes since a revision that was known by then, so its lines
 * contain all changes that are not known yet. An active watch that falls silent or leads to the
 * previous address is still read until its successor has caught up with the last revision received.
 * Lists older than that revision are ignored, whichever watch they arrive on.
 */
public final class Discovery {
  private static final System.Logger LOG = System.getLogger(Discovery.class.getName());

  /** Maximum number of unanswered watches that are open at the same time. */
  static final int MAX_UNANSWERED = 16;

  /** Maximum number of bytes of incomplete lists on all unanswered watches together. */
  private static final int MAX_INCOMPLETE_BYTES = 3 << 19;

  private final EventLoop loop;
  private final List<String> zones;
  private final Consumer<EndpointList> onList;
  private final DiscoveryWatch.Listener watchListener = new WatchListener();
  private final WatchSchedule schedule = new WatchSchedule(new Random());
  private HostPort agentAddress;
  private long revision;

  /** Number of invalid messages; none of them changed any state. */
  private long invalidMessages;

  /** The watch of the current address that is alive; null if there is none. */
  private DiscoveryWatch active;

  /**
   * The last watch that was active before. It fell silent or leads to the previous address, and is
   * read until the active watch has caught up with it. May be null.
   */
  private DiscoveryWatch replaced;

  /** The watches of the current address that have received no line yet, in order of opening. */
  private final Deque<DiscoveryWatch> unanswered = new ArrayDeque<>();

  /** The watch that was opened last; null before the start. */
  private DiscoveryWatch newest;

  /** Opens the next watch. */
  private Future<?> nextWatchTimer;

  /** Number of times that the timer was set or cancelled; a timer that is outdated does nothing. */
  private long timerGeneration;

  /** Since when no watch has been active, in ms. */
  private double inactiveSince;

  /** Whether it was logged that no watch has been active for too long. */
  private boolean inactivityLogged;

  /**
   * Creates a client of discovery.
   *
   * @param loop the event loop to run on
   * @param agentAddress the address of the discovery agent
   * @param zones the zone names; the settings refer to a zone by its index
   * @param revision the last revision known
   * @param onList receives the endpoint lists and the changes to them
   */
  public Discovery(
      EventLoop loop,
      HostPort agentAddress,
      List<String> zones,
      long revision,
      Consumer<EndpointList> onList) {
    this.loop = loop;
    this.agentAddress = agentAddress;
    this.zones = zones;
    this.revision = revision;
    this.onList = onList;
  }

  /** Starts watching. */
  public void start() {
    inactiveSince = loop.now();
    openWatch();
  }

  /**
   * Switches to another address and resumes there from the last revision. The active watch is read
   * until the new one has caught up with it; unanswered watches are closed.
   */
  public void moveTo(HostPort address) {
    if (address.equals(agentAddress)) {
      return;
    }
    LOG.log(Level.INFO, "Discovery agent changed from " + agentAddress + " to " + address);
    agentAddress = address;
    closeUnanswered();
    replaceActive();
    schedule.reset();
    openWatch();
  }

  /** Keeps reading the active watch, if there is one, while others are opened to replace it. */
  private void replaceActive() {
    if (active != null) {
      closeReplaced();
      replaced = active;
      deactivate();
    }
  }

  private void deactivate() {
    active = null;
    inactiveSince = loop.now();
  }

  private void closeReplaced() {
    if (replaced != null) {
      DiscoveryWatch closing = replaced;
      replaced = null;
      closing.close();
    }
  }

  private void closeUnanswered() {
    while (!unanswered.isEmpty()) {
      unanswered.poll().close();
    }
  }

  private void openWatch() {
    logInactivity();
    if (unanswered.size() >= MAX_UNANSWERED) {
      closeUnanswered(Comparator.comparingDouble(DiscoveryWatch::answerDeadline));
    }
    newest = new DiscoveryWatch(loop, agentAddress, zones, watchListener);
    unanswered.add(newest);
    scheduleWatch(schedule.interval(), this::openAnotherWatch);
    newest.open(schedule.answerTimeout());
  }

  /** Closes the first of the unanswered watches in this order. */
  private void closeUnanswered(Comparator<DiscoveryWatch> order) {
    DiscoveryWatch closing = unanswered.stream().min(order).orElseThrow();
    unanswered.remove(closing);
    closing.close();
  }

  private void openAnotherWatch() {
    boolean newestIsUnanswered = unanswered.contains(newest);
    if (newestIsUnanswered && newest.msUntilFirstLineIsOverdue() > 0) {
      scheduleWatch(newest.msUntilFirstLineIsOverdue(), this::openAnotherWatch);
      return;
    }
    schedule.growInterval();
    if (newestIsUnanswered) {
      schedule.recordUnanswered();
    }
    openWatch();
  }

  private void logInactivity() {
    double inactiveMs = loop.now() - inactiveSince;
    if (inactivityLogged || inactiveMs < WatchSchedule.COUNTS_AS_RECEIVED_AFTER_MS) {
      return;
    }
    inactivityLogged = true;
    LOG.log(
        Level.WARNING,
        "Discovery at "
            + agentAddress
            + " has answered no watch for "
            + Math.round(inactiveMs)
            + " ms, unanswered watches: "
            + unanswered.size()
            + "; the endpoint list may be out of date");
  }

  /** Runs a task that opens a watch after a delay, in place of the one scheduled before. */
  private void scheduleWatch(double delayMs, Runnable task) {
    cancelScheduledWatch();
    long generation = timerGeneration;
    nextWatchTimer =
        loop.scheduleCancellable(
            delayMs,
            () -> {
              if (generation == timerGeneration) {
                task.run();
              }
            });
  }

  private void cancelScheduledWatch() {
    timerGeneration++;
    if (nextWatchTimer != null) {
      nextWatchTimer.cancel(false);
    }
  }

  private void activate(DiscoveryWatch watch) {
    active = watch;
    unanswered.remove(watch);
    closeUnanswered();
    cancelScheduledWatch();
    schedule.reset();
    if (inactivityLogged) {
      inactivityLogged = false;
      LOG.log(
          Level.INFO,
          "Discovery at "
              + agentAddress
              + " answers again after "
              + Math.round(loop.now() - inactiveSince)
              + " ms");
    }
  }

  /**
   * Closes unanswered watches that hold the least of a list, as the others are nearer to its end.
   */
  private void limitIncompleteBytes() {
    while (incompleteBytes() > MAX_INCOMPLETE_BYTES) {
      closeUnanswered(Comparator.comparingInt(Discovery::incompleteBytesOrder));
    }
  }

  private int incompleteBytes() {
    return unanswered.stream().mapToInt(DiscoveryWatch::incompleteBytes).sum();
  }

  /** Orders watches by their incomplete bytes; those without any come last. */
  private static int incompleteBytesOrder(DiscoveryWatch watch) {
    return watch.incompleteBytes() == 0 ? Integer.MAX_VALUE : watch.incompleteBytes();
  }

  /** Handles the events of the watches. */
  private final class WatchListener implements DiscoveryWatch.Listener {
    @Override
    public long revision() {
      return revision;
    }

    @Override
    public void onEndpointList(DiscoveryWatch watch, EndpointList list) {
      if (list.revision() < revision) {
        // An agent may lag behind the previous one and list servers that have been removed.
        LOG.log(
            Level.WARNING,
            "Ignored endpoint list revision "
                + list.revision()
                + " of discovery at "
                + watch.agentAddress()
                + ", which is older than revision "
                + revision);
        return;
      }
      revision = list.revision();
      onList.accept(list);
    }

    @Override
    public void onLine(DiscoveryWatch watch) {
      if (unanswered.contains(watch)) {
        activate(watch);
      }
      if (watch == active && watch.revision() >= revision) {
        closeReplaced();
      }
    }

    @Override
    public void onReceived(DiscoveryWatch watch) {
      limitIncompleteBytes();
    }

    @Override
    public void onInvalidMessage(DiscoveryWatch watch, RuntimeException defect) {
      invalidMessages++;
      LOG.log(
          Level.WARNING,
          "Closing a watch of discovery at "
              + watch.agentAddress()
              + " after an invalid message, number "
              + invalidMessages
              + " so far: "
              + defect.getMessage());
    }

    @Override
    public void onSilent(DiscoveryWatch watch) {
      if (watch != active) {
        return;
      }
      LOG.log(
          Level.INFO, "Discovery at " + agentAddress + " is unresponsive; opening another watch");
      replaceActive();
      openWatch();
    }

    @Override
    public void onClosed(DiscoveryWatch watch) {
      if (watch == active) {
        deactivate();
        scheduleWatch(schedule.nextBackoff(), Discovery.this::openWatch);
      } else if (watch == replaced) {
        replaced = null;
      } else if (unanswered.remove(watch) && unanswered.isEmpty()) {
        scheduleWatch(schedule.nextBackoff(), Discovery.this::openWatch);
      }
    }
  }
}
