package bitternpulley.aggregator;

import bitternpulley.broker.Broker;
import bitternpulley.net.EventLoop;
import java.util.concurrent.Future;

/** Runs tasks on the event loop after a delay, for callers that never cancel them. */
final class LoopTimer implements Broker.Timer {
  private final EventLoop loop;

  LoopTimer(EventLoop loop) {
    this.loop = loop;
  }

  /** Runs the task; the loop logs what it throws, so its future is of no use. */
  @Override
  public void after(double ms, Runnable task) {
    Future<?> unused = loop.after(ms, task);
  }
}
