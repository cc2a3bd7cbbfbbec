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
import java.util.function.DoubleSupplier;

/**
 * Runs all completions and alarms one at a time. Completions run on the thread that waits for the
 * sockets, which spares each of them the hand-over to another thread; alarms have a thread of their
 * own, and both take turns by one lock. The queues are bounded by what feeds them: each channel has
 * at most a read and a write under way, and each request a bounded number of alarms.
 */
public final class EventLoop {
  private static final System.Logger LOG = System.getLogger(EventLoop.class.getName());

  /**
   * Alarms ring at multiples of so many ns: those that are due about together cost one waking of
   * their thread.
   */
  private static final long TIMER_RESOLUTION_NS = 2_000_000;

  private final DoubleSupplier clock;
  private final EventLoopLag lag = new EventLoopLag();

  /**
   * Fair. Guards against alarms, which are deadlines, that wait until all that has come in is dealt
   * with.
   */
  private final ReentrantLock turnLock = new ReentrantLock(true);

  private final ArrayDeque<Runnable> deferredTasks = new ArrayDeque<>();
  private final ScheduledThreadPoolExecutor timers =
      new ScheduledThreadPoolExecutor(1, r -> new Thread(r, "alarms"));
  private final AsynchronousChannelGroup group;

  /** A loop by the JVM's own time. */
  public EventLoop() {
    this(() -> System.nanoTime() / 1e6);
  }

  /** A loop for which the clock tells the age of connections. */
  public EventLoop(DoubleSupplier clock) {
    this.clock = clock;
    timers.setRemoveOnCancelPolicy(true);
    try {
      group = AsynchronousChannelGroup.withFixedThreadPool(1, r -> new Thread(r, "loop"));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  AsynchronousChannelGroup group() {
    return group;
  }

  /** The time in ms, by which the ages of connections are told, and the lateness of turns. */
  public double now() {
    return clock.getAsDouble();
  }

  /** Begins to watch how late its own turns come; until then they count as in time. */
  public void watchItself() {
    lag.tick(now());
    after(EventLoopLag.TICK_INTERVAL_MS, this::watchItself);
  }

  /** Ms for which what is read in this turn may have lain unread. */
  double unreadMs() {
    return lag.unreadMs(now());
  }

  /** Ms by which turns came late in the last seconds, at the worst. */
  double worstLagMs() {
    return lag.worstLagMs(now());
  }

  /** Runs a task in a turn of its own, now or, within another turn, at the end of that. */
  public void execute(Runnable task) {
    if (turnLock.isHeldByCurrentThread()) {
      deferredTasks.add(task);
    } else {
      inTurn(task);
    }
  }

  /** Runs a task after so many milliseconds; the returned future takes it back. */
  public Future<?> after(double ms, Runnable task) {
    long now = System.nanoTime();
    long due = now + (long) (Math.max(0, ms) * 1e6);
    long wait = due + TIMER_RESOLUTION_NS - Math.floorMod(due, TIMER_RESOLUTION_NS) - now;
    return timers.schedule(() -> inTurn(task), wait, TimeUnit.NANOSECONDS);
  }

  /** A turn for what a socket brings that was last waited for from {@code armed} on. */
  void socketTurn(double armed, Runnable task) {
    inTurn(
        () -> {
          if (turnLock.getHoldCount() == 1) {
            lag.socketTurnStarted(now(), armed);
          }
          task.run();
          if (turnLock.getHoldCount() == 1) {
            lag.socketTurnEnded(now());
          }
        });
  }

  /** Runs a task while nothing else of the loop runs, then what it left to be done. */
  void inTurn(Runnable task) {
    turnLock.lock();
    try {
      if (turnLock.getHoldCount() == 1) {
        lag.turnStarted(now());
      }
      runLoggingErrors(task);
      while (turnLock.getHoldCount() == 1 && !deferredTasks.isEmpty()) {
        runLoggingErrors(deferredTasks.poll());
      }
    } finally {
      turnLock.unlock();
    }
  }

  /** Guards against errors that vanish: an executor keeps to itself what its tasks throw. */
  private static void runLoggingErrors(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOG.log(Level.ERROR, "a task failed", e);
    }
  }
}
