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
import java.util.function.BooleanSupplier;
import java.util.function.DoubleConsumer;
import java.util.function.DoubleSupplier;

/**
 * Runs the completions of socket operations and the timers of the process one at a time; one such
 * run is called a turn. Completions run on the thread that polls the sockets, which avoids handing
 * them to another thread. Timers run on a separate thread, and one lock serializes the turns of all
 * threads. The queues are bounded by their sources: each channel has at most one read and one write
 * in progress, and each request a bounded number of timers.
 */
public final class EventLoop {
  private static final System.Logger LOG = System.getLogger(EventLoop.class.getName());

  /**
   * Timers fire at multiples of this many ns, so that timers due at about the same time share one
   * wake-up of their thread.
   */
  private static final long TIMER_RESOLUTION_NS = 2_000_000;

  private static final double NANOS_PER_MS = 1e6;

  /**
   * Lag from which a pause is reported. Shorter lags change latencies little, and are usual where
   * processor time is scarce.
   */
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
  private final BacklogBarrier backlogBarrier;
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
    backlogBarrier = new BacklogBarrier(this, group, lag::backlogRead);
  }

  AsynchronousChannelGroup group() {
    return group;
  }

  /** Returns the loop's time in ms, by which connection ages and turn lags are measured. */
  public double now() {
    return clock.getAsDouble();
  }

  /** Starts to measure the lag of the loop, which counts as zero until then. */
  public void startLagMonitor() {
    lag.tick(now());
    repeat(
        EventLoopLag.TICK_INTERVAL_MS,
        () -> {
          lag.tick(now());
          return true;
        });
  }

  /** Returns the time in ms that the bytes read in this turn may have waited to be read. */
  double unreadMs() {
    return lag.unreadMs(now());
  }

  /**
   * Sets the listener that receives the length in ms of each time span in which the loop did not
   * run, before the first turn after that time span handles anything else.
   */
  public void setPauseListener(DoubleConsumer listener) {
    pauseListener = listener;
  }

  /** Records that a connection was accepted; more may be waiting. */
  void connectionAccepted() {
    backlogBarrier.connectionAccepted();
  }

  /** Returns the worst lag of a turn in the last seconds, in ms. */
  double worstLagMs() {
    return lag.worstLagMs(now());
  }

  /** Runs a task at once in a turn of its own or, if called in a turn, at the end of that turn. */
  public void execute(Runnable task) {
    if (isInTurn()) {
      deferredTasks.add(task);
    } else {
      runInTurn(task);
    }
  }

  private boolean isInTurn() {
    return turnLock.getHoldCount() > 0;
  }

  private boolean isInOutermostTurn() {
    return turnLock.getHoldCount() == 1;
  }

  /** Runs a task in its own turn after a delay in ms; the returned future cancels the task. */
  public Future<?> scheduleCancellable(double ms, Runnable task) {
    long now = System.nanoTime();
    long due = now + (long) (Math.max(0, ms) * NANOS_PER_MS);
    long delay = due + TIMER_RESOLUTION_NS - Math.floorMod(due, TIMER_RESOLUTION_NS) - now;
    return timers.schedule(() -> runInTurn(task), delay, TimeUnit.NANOSECONDS);
  }

  /** Runs a task in its own turn after a delay in ms, for callers that never cancel the task. */
  public void schedule(double ms, Runnable task) {
    Future<?> unused = scheduleCancellable(ms, task);
  }

  /**
   * Runs a task in its own turn every {@code ms} until it returns false. A run that fails does not
   * end the repetition.
   */
  public void repeat(double ms, BooleanSupplier task) {
    schedule(ms, () -> runAndRepeat(ms, task));
  }

  private void runAndRepeat(double ms, BooleanSupplier task) {
    boolean continues = true;
    try {
      continues = task.getAsBoolean();
    } finally {
      if (continues) {
        repeat(ms, task);
      }
    }
  }

  /**
   * Runs a task in a turn for the result of a socket operation that was armed at {@code armedAt}.
   */
  void runInSocketTurn(double armedAt, Runnable task) {
    runInTurn(
        () -> {
          if (isInOutermostTurn()) {
            lag.socketTurnStarted(now(), armedAt);
          }
          try {
            task.run();
          } finally {
            if (isInOutermostTurn()) {
              lag.socketTurnEnded(now());
            }
          }
        });
  }

  /** Runs a task while no other task of the loop runs, then the tasks that it deferred. */
  void runInTurn(Runnable task) {
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
      backlogBarrier.restart();
    }
    if (turnLag >= MIN_PAUSE_MS) {
      LOG.log(Level.DEBUG, () -> "The event loop did not run for " + Math.round(turnLag) + " ms");
      runLoggingErrors(() -> pauseListener.accept(turnLag));
    }
  }

  /**
   * Supervised boundary: the loop survives a failed task, whose exception an executor would
   * swallow. An error such as a stack overflow must not end the turn either, because its remaining
   * tasks would wait for a next turn.
   */
  private static void runLoggingErrors(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | Error failure) {
      LOG.log(Level.ERROR, "A task of the event loop failed", failure);
    }
  }
}
