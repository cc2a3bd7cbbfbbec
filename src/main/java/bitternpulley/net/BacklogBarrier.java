package bitternpulley.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;

/**
 * Finds out when all has been read that arrived while the event loop did not run. It sends a marker
 * from the timer thread through the channel group several times in a row: the thread that polls the
 * sockets runs a marker only after a poll that came after it, so that everything that was ready
 * before an earlier marker has been handled by then.
 */
final class BacklogBarrier {
  /**
   * Markers at least. The first may have been sent before the loop stopped, the results of one poll
   * are handled in any order, and a read beyond the JDK's limit of nested completions is found by
   * one more poll.
   */
  private static final int MARKERS = 4;

  private static final ByteBuffer NOTHING = ByteBuffer.allocate(0);

  private final EventLoop loop;
  private final AsynchronousChannelGroup group;
  private final Runnable passed;
  private AsynchronousSocketChannel closedChannel;
  private boolean isRunning;
  private int markersReturned;
  private boolean hasAccepted;

  /** Creates a barrier that runs {@code passed} in a turn of the loop when all has been read. */
  BacklogBarrier(EventLoop loop, AsynchronousChannelGroup group, Runnable passed) {
    this.loop = loop;
    this.group = group;
    this.passed = passed;
  }

  /** Starts again from the first marker. */
  void restart() {
    markersReturned = 0;
    if (!isRunning) {
      isRunning = true;
      loop.schedule(0, this::sendMarker);
    }
  }

  /**
   * Records that a connection was accepted. Those that wait are accepted one after each poll, so
   * only two markers without a connection between them show that no more wait.
   */
  void connectionAccepted() {
    hasAccepted = true;
  }

  /**
   * Runs on the timer thread, whose operations complete on the polling thread. Any operation on a
   * closed channel completes at once.
   */
  private void sendMarker() {
    try {
      if (closedChannel == null) {
        closedChannel = AsynchronousSocketChannel.open(group);
        closedChannel.close();
      }
    } catch (IOException noDescriptor) {
      isRunning = false; // the gap then ends by its length
      return;
    }
    closedChannel.read(
        NOTHING,
        null,
        new CompletionHandler<Integer, Void>() {
          @Override
          public void completed(Integer count, Void attachment) {
            loop.inTurn(BacklogBarrier.this::markerReturned);
          }

          @Override
          public void failed(Throwable closed, Void attachment) {
            loop.inTurn(BacklogBarrier.this::markerReturned);
          }
        });
  }

  private void markerReturned() {
    markersReturned++;
    boolean isPassed = markersReturned >= MARKERS && !hasAccepted;
    hasAccepted = false;
    if (isPassed) {
      isRunning = false;
      passed.run();
    } else {
      loop.schedule(0, this::sendMarker);
    }
  }
}
