package bitternpulley.emulator;

import bitternpulley.net.EventLoop;
import java.util.ArrayDeque;

/**
 * Emulates a machine with a number of cores and a bounded first-in first-out queue. All methods
 * must be called on the event loop's thread, except {@link #workDoneMs}, which measurements read
 * from other threads without synchronization.
 */
final class WorkQueue {
  /** Receives the outcome of a job. */
  interface Job {
    /** Handles the completion of the work. */
    void completed();

    /** Handles the rejection of the work because the queue is full. */
    void rejected();
  }

  /** A job that waits for a core. */
  private record QueuedJob(double workMs, Job job) {}

  private final EventLoop loop;
  private final int cores;
  private final int capacity;
  private final ArrayDeque<QueuedJob> queue = new ArrayDeque<>();
  private int busyCores;
  private double slowdown = 1;
  private double workDoneMs;

  /** Creates a queue in which {@code capacity} jobs can wait for one of the cores. */
  WorkQueue(EventLoop loop, int cores, int capacity) {
    this.loop = loop;
    this.cores = cores;
    this.capacity = capacity;
  }

  /** Sets the factor by which jobs that start from now on take longer than usual. */
  void setSlowdown(double factor) {
    slowdown = factor;
  }

  /** Returns the work finished so far, in ms that it takes at the usual speed. */
  double workDoneMs() {
    return workDoneMs;
  }

  /** Starts a job of this many ms of work, queues it, or rejects it when the queue is full. */
  void submit(double workMs, Job job) {
    if (busyCores < cores) {
      start(new QueuedJob(workMs, job), now());
    } else if (queue.size() < capacity) {
      queue.add(new QueuedJob(workMs, job));
    } else {
      job.rejected();
    }
  }

  private void start(QueuedJob queued, double startMs) {
    busyCores++;
    // Timers fire late by up to their resolution. The next job therefore starts when this one was
    // due, so that no core time is lost.
    double dueMs = startMs + queued.workMs() * slowdown;
    loop.schedule(
        dueMs - now(),
        () -> {
          busyCores--;
          workDoneMs += queued.workMs();
          if (!queue.isEmpty()) {
            start(queue.poll(), dueMs);
          }
          queued.job().completed();
        });
  }

  private static double now() {
    return System.nanoTime() / 1e6;
  }
}
