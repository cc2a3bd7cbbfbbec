package bitternpulley.platform;

import bitternpulley.net.EventLoop;

/**
 * Limits the time that an incomplete frame of a slot server may take. A large value on a slow
 * network may take long, as long as it makes progress. A frame that stops or only trickles would
 * keep the other results of its connection waiting.
 */
final class FrameTimeout {
  /**
   * Time in ms within which an incomplete frame has to be completed, or to receive another {@link
   * #MIN_PROGRESS_BYTES}.
   */
  private static final double TIMEOUT_MS = 300;

  private static final int MIN_PROGRESS_BYTES = 1024;

  private final EventLoop loop;
  private final SlotFrameReader reader;
  private final Runnable onExpired;
  private long bytesRead;

  /** The number of the frame whose time was limited last, counted from 0. */
  private int timedFrame = -1;

  /**
   * Creates a timeout for the frames of one connection.
   *
   * @param loop the event loop to run on
   * @param reader reads the frames
   * @param onExpired handles an incomplete frame that made too little progress
   */
  FrameTimeout(EventLoop loop, SlotFrameReader reader, Runnable onExpired) {
    this.loop = loop;
    this.reader = reader;
    this.onExpired = onExpired;
  }

  /** Records that the reader has read further bytes. */
  void onRead(int byteCount) {
    bytesRead += byteCount;
    if (reader.isWithinFrame() && reader.framesRead() != timedFrame) {
      timedFrame = reader.framesRead();
      scheduleCheck();
    }
  }

  private void scheduleCheck() {
    int frame = timedFrame;
    long bytesBefore = bytesRead;
    loop.schedule(TIMEOUT_MS, () -> checkProgress(frame, bytesBefore));
  }

  private void checkProgress(int frame, long bytesBefore) {
    if (reader.framesRead() != frame || !reader.isWithinFrame()) {
      return;
    }
    if (bytesRead - bytesBefore >= MIN_PROGRESS_BYTES) {
      scheduleCheck();
    } else {
      onExpired.run();
    }
  }

  /** Describes the limit, for the message about a violation. */
  static String description() {
    return "it is incomplete and received less than "
        + MIN_PROGRESS_BYTES
        + " bytes in "
        + TIMEOUT_MS
        + " ms";
  }
}
