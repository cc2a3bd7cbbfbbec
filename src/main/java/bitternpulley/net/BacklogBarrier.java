package bitternpulley.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;

/**
 * Determines when everything that arrived while the event loop did not run has been read. It sends
 * several markers in a row from the timer thread through the channel group. The thread that polls
 * the sockets handles a marker only after a poll that follows the sending of the marker, so
 * everything that was ready before an earlier marker has been handled by then.
 */
final class BacklogBarrier {
  /**
   * Minimum number of markers. The first may have been sent before the loop stopped, the results of
   * one poll are handled in any order, and a read beyond the JDK's limit of nested completions
   * needs one more poll.
   */
  private static final int MIN_MARKERS = 4;

  private static final ByteBuffer EMPTY_BUFFER = ByteBuffer.allocate(0);

  private final EventLoop loop;
  private final AsynchronousChannelGroup group;
  private final Runnable onPassed;
  private AsynchronousSocketChannel closedChannel;
  private boolean isRunning;
  private int markersReturned;
  private boolean hasAcceptedSinceMarker;

  /** Creates a barrier that runs {@code onPassed} in a turn of the loop once everything is read. */
  BacklogBarrier(EventLoop loop, AsynchronousChannelGroup group, Runnable onPassed) {
    this.loop = loop;
    this.group = group;
    this.onPassed = onPassed;
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
   * Records that a connection was accepted. Waiting connections are accepted one per poll, so only
   * two markers without a connection between them show that no more are waiting.
   */
  void connectionAccepted() {
    hasAcceptedSinceMarker = true;
  }

  /**
   * Runs on the timer thread; operations that start there complete on the polling thread. Any
   * operation on a closed channel completes at once.
   */
  private void sendMarker() {
    try {
      if (closedChannel == null) {
        closedChannel = AsynchronousSocketChannel.open(group);
        closedChannel.close();
      }
    } catch (IOException noDescriptor) {
      isRunning = false; // EventLoopLag then assumes that reading takes as long as the gap
      return;
    }
    closedChannel.read(
        EMPTY_BUFFER,
        null,
        new CompletionHandler<Integer, Void>() {
          @Override
          public void completed(Integer count, Void attachment) {
            loop.runInTurn(BacklogBarrier.this::markerReturned);
          }

          @Override
          public void failed(Throwable closed, Void attachment) {
            loop.runInTurn(BacklogBarrier.this::markerReturned);
          }
        });
  }

  private void markerReturned() {
    markersReturned++;
    boolean isPassed = markersReturned >= MIN_MARKERS && !hasAcceptedSinceMarker;
    hasAcceptedSinceMarker = false;
    if (isPassed) {
      isRunning = false;
      onPassed.run();
    } else {
      loop.schedule(0, this::sendMarker);
    }
  }
}
