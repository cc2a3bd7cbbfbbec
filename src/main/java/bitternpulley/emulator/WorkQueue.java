package bitternpulley.emulator;

import bitternpulley.net.EventLoop;
import java.util.ArrayDeque;

/**
 * A machine with cores and a waiting room, first in, first out. All calls come on the loop's turn.
 */
final class WorkQueue {
  /** What becomes of a part. */
  interface Job {
    void done();

    void full();
  }

  private record Waiting(double work, Job job) {}

  private final EventLoop loop;
  private final int cores;
  private final int room;
  private final ArrayDeque<Waiting> queue = new ArrayDeque<>();
  private int busy;
  private double slowness = 1;
  private double workDone;

  WorkQueue(EventLoop loop, int cores, int room) {
    this.loop = loop;
    this.cores = cores;
    this.room = room;
  }

  /** Times as long that each part takes from now on. */
  void slowness(double times) {
    slowness = times;
  }

  /** Ms of work that was finished, as it takes at the usual speed. */
  double workDone() {
    return workDone;
  }

  void submit(double work, Job job) {
    if (busy < cores) {
      begin(new Waiting(work, job), now());
    } else if (queue.size() < room) {
      queue.add(new Waiting(work, job));
    } else {
      job.full();
    }
  }

  private void begin(Waiting w, double from) {
    busy++;
    // Alarms ring late by up to their grid: the next part counts from when this one was due, so
    // that no time of a core is lost.
    double due = from + w.work() * slowness;
    loop.after(
        due - now(),
        () -> {
          busy--;
          workDone += w.work();
          if (!queue.isEmpty()) {
            begin(queue.poll(), due);
          }
          w.job().done();
        });
  }

  private static double now() {
    return System.nanoTime() / 1e6;
  }
}
