package bitternpulley.net;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.System.Logger.Level;
import java.nio.channels.AsynchronousChannelGroup;
import java.util.ArrayDeque;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.DoubleConsumer;
import java.util.function.DoubleSupplier;

/**
 * Runs all completions and timers one at a time, each in a turn of its own. Completions run on the
 * thread that polls the sockets, which saves a hand-over to another thread; timers have a thread of
 * their own, and one lock serializes both. The queues are bounded by what feeds them: each channel
 * has at most one read and one write in progress, and each request a bounded number of timers.
 */
public final class EventLoop {
  private static final System.Logger LOG = System.getLogger(EventLoop.class.getName());

  /**
   * Timers fire at multiples of this many ns, so that timers due at about the same time share one
   * wake-up of their thread.
   */
  private static final long TIMER_RESOLUTION_NS = 2_000_000;

  private static final double NANOS_PER_MS = 1e6;

  /** Shorter lags change a latency by little, and are usual where processor time is scarce. */
  private static final double MIN_PAUSE_MS = 100;

  private final DoubleSupplier clock;
  private final EventLoopLag lag = new EventLoopLag();

  /**
   * Fair, because an unfair lock would let a backlog of completions delay timers, which are
   * deadlines.
   */
  private final ReentrantLock turnLock = new ReentrantLock(true);

  private final ArrayDeque<Runnable> deferredTasks = new ArrayDeque<>();
  private final ScheduledThreadPoolExecutor timers =
      new ScheduledThreadPoolExecutor(1, task -> new Thread(task, "alarms"));
  private final AsynchronousChannelGroup group;
  private final BacklogBarrier backlog;
  private DoubleConsumer pauseListener = pausedMs -> {};

  /** Creates a loop that takes the time from the JVM's monotonic clock. */
  public EventLoop() {
    this(() -> System.nanoTime() / NANOS_PER_MS);
  }

  /** Creates a loop that takes the time, in ms, from {@code clock}. */
  public EventLoop(DoubleSupplier clock) {
    this.clock = clock;
    timers.setRemoveOnCancelPolicy(true);
    try {
      group = AsynchronousChannelGroup.withFixedThreadPool(1, task -> new Thread(task, "loop"));
    } catch (IOException exception) {
      throw new UncheckedIOException(exception);
    }
    backlog = new BacklogBarrier(this, group, lag::backlogRead);
  }

  AsynchronousChannelGroup group() {
    return group;
  }

  /** Returns the time in ms by which ages of connections and lag of turns are measured. */
  public double now() {
    return clock.getAsDouble();
  }

  /** Starts to measure the loop's own lag, which counts as zero until then. */
  public void startLagMonitor() {
    lag.tick(now());
    schedule(EventLoopLag.TICK_INTERVAL_MS, this::startLagMonitor);
  }

  /** Returns for how many ms the bytes read in this turn may have lain unread. */
  double unreadMs() {
    return lag.unreadMs(now());
  }

  /**
   * Has each time in which the loop did not run, in ms, reported before anything else is handled.
   */
  public void onPause(DoubleConsumer listener) {
    pauseListener = listener;
  }

  /** Records that a connection was accepted, behind which others may wait. */
  void connectionAccepted() {
    backlog.connectionAccepted();
  }

  /** Returns the worst lag of a turn in the last seconds, in ms. */
  double worstLagMs() {
    return lag.worstLagMs(now());
  }

  /**
   * Runs a task in a turn of its own: at once, or at the end of the current turn if there is one.
   */
  public void execute(Runnable task) {
    if (isInTurn()) {
      deferredTasks.add(task);
    } else {
      inTurn(task);
    }
  }

  private boolean isInTurn() {
    return turnLock.getHoldCount() > 0;
  }

  private boolean isInOutermostTurn() {
    return turnLock.getHoldCount() == 1;
  }

  /** Runs a task in a turn of its own after a delay in ms; the returned future cancels it. */
  public Future<?> after(double ms, Runnable task) {
    long now = System.nanoTime();
    long due = now + (long) (Math.max(0, ms) * NANOS_PER_MS);
    long delay = due + TIMER_RESOLUTION_NS - Math.floorMod(due, TIMER_RESOLUTION_NS) - now;
    return timers.schedule(() -> inTurn(task), delay, TimeUnit.NANOSECONDS);
  }

  /** Runs a task in a turn of its own after a delay in ms, for callers that never cancel it. */
  public void schedule(double ms, Runnable task) {
    Future<?> unused = after(ms, task);
  }

  /**
   * Runs a task in a turn for the result of a socket operation that was armed at {@code armedAt}.
   */
  void socketTurn(double armedAt, Runnable task) {
    inTurn(
        () -> {
          if (isInOutermostTurn()) {
            lag.socketTurnStarted(now(), armedAt);
          }
          task.run();
          if (isInOutermostTurn()) {
            lag.socketTurnEnded(now());
          }
        });
  }

  /** Runs a task while nothing else of the loop runs, then the tasks that it deferred. */
  void inTurn(Runnable task) {
    turnLock.lock();
    try {
      if (isInOutermostTurn()) {
        beginTurn();
      }
      runLoggingErrors(task);
      while (isInOutermostTurn() && !deferredTasks.isEmpty()) {
        runLoggingErrors(deferredTasks.poll());
      }
    } finally {
      turnLock.unlock();
    }
  }

  private void beginTurn() {
    double turnLag = lag.turnStarted(now());
    if (turnLag > 0) {
      backlog.restart();
    }
    if (turnLag >= MIN_PAUSE_MS) {
      LOG.log(Level.DEBUG, () -> "The event loop did not run for " + Math.round(turnLag) + " ms");
      runLoggingErrors(() -> pauseListener.accept(turnLag));
    }
  }

  /**
   * Supervised boundary: the loop outlives a failed task, and an executor would swallow what the
   * task throws.
   */
  private static void runLoggingErrors(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException exception) {
      LOG.log(Level.ERROR, "A task of the event loop failed", exception);
    }
  }
}
