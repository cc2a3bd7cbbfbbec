package bitternpulley.net;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.System.Logger.Level;
import java.nio.channels.AsynchronousChannelGroup;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * The one thread on which all completions and alarms run. Its queue is bounded by what feeds it: each channel has
 * at most a read and a write under way, and each request a bounded number of alarms.
 */
public final class EventLoop {
  private static final System.Logger LOG = System.getLogger(EventLoop.class.getName());
  private final ScheduledThreadPoolExecutor executor = new ScheduledThreadPoolExecutor(1, r -> {
    Thread thread = new Thread(r, "loop");
    thread.setDaemon(false);
    return thread;
  });
  private final AsynchronousChannelGroup group;

  public EventLoop() {
    executor.setRemoveOnCancelPolicy(true);
    try {
      group = AsynchronousChannelGroup.withThreadPool(executor);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  AsynchronousChannelGroup group() {
    return group;
  }

  /** Runs a task on the loop's thread, after what is queued. */
  public void execute(Runnable task) {
    executor.execute(guarded(task));
  }

  /** Runs a task after so many milliseconds; the returned future takes it back. */
  public Future<?> after(double ms, Runnable task) {
    return executor.schedule(guarded(task), (long) (Math.max(0, ms) * 1e6), TimeUnit.NANOSECONDS);
  }

  /** Guards against errors that vanish: an executor keeps to itself what its tasks throw. */
  static Runnable guarded(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException e) {
        LOG.log(Level.ERROR, "a task failed", e);
      }
    };
  }
}
