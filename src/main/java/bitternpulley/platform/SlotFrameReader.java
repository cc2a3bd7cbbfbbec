package bitternpulley.platform;

import bitternpulley.broker.AttemptId;
import bitternpulley.broker.Event;
import bitternpulley.net.FrameCodec;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.function.Consumer;

/** Reads the frames that a slot server sends on one connection, and matches results to attempts. */
final class SlotFrameReader {
  private final String server;
  private final PartsInFlight inFlight;
  private final Consumer<AttemptId> removeAttempt;
  private final FrameCodec codec = new FrameCodec();
  private int framesRead;

  /**
   * Creates a reader.
   *
   * @param server the id of the slot server
   * @param inFlight the parts in flight on the connection
   * @param removeAttempt removes an attempt that has ended from the parts in flight
   */
  SlotFrameReader(String server, PartsInFlight inFlight, Consumer<AttemptId> removeAttempt) {
    this.server = server;
    this.inFlight = inFlight;
    this.removeAttempt = removeAttempt;
  }

  /**
   * Reads further bytes and adds the ends of attempts that they report to {@code ended}.
   *
   * @throws ProtocolException if the bytes violate the protocol; results before the violation still
   *     count
   */
  void read(ByteBuffer bytes, List<Event.AttemptEnded> ended) {
    try {
      codec.read(bytes, frame -> accept(frame, ended));
    } catch (IllegalArgumentException failure) {
      throw new ProtocolException(server, "frame header", failure.getMessage());
    }
    if (inFlight.isEmpty() && isWithinFrame()) {
      throw new ProtocolException(server, "frame", "no part is in flight that it could answer");
    }
  }

  /** Whether a frame has begun and is not complete. */
  boolean isWithinFrame() {
    return !codec.isBetweenFrames();
  }

  /** The number of complete frames read. */
  int framesRead() {
    return framesRead;
  }

  private void accept(FrameCodec.Frame frame, List<Event.AttemptEnded> ended) {
    framesRead++;
    FrameType type = FrameType.ofTypeCode(frame.typeCode());
    if (type == null) {
      throw new ProtocolException(
          server, "frame '" + frame.typeCode() + "'", "its type is unknown");
    }
    switch (type) {
      case RESULT -> acceptResult(SlotFrames.decodeResult(server, frame.payload()), ended);
      case HEALTH_CHECK, LOAD_REQUEST -> {
        // The aggregator does not use these frames.
      }
      case PROTOCOL_ERROR ->
          throw new ProtocolException(
              server,
              type + " frame",
              "it rejects a frame: " + SlotFrames.decodeProtocolError(frame.payload()));
      case CALL, CANCEL ->
          throw new ProtocolException(server, type + " frame", "only aggregators send it");
    }
  }

  private void acceptResult(SlotFrames.Result result, List<Event.AttemptEnded> ended) {
    AttemptId attempt = inFlight.attemptFor(result.partId());
    if (attempt != null) {
      removeAttempt.accept(attempt);
      inFlight.recordAnswered(result.partId());
      ended.add(new Event.AttemptEnded(attempt, result.outcome(), result.value()));
    } else if (!inFlight.acceptUnmatchedResult(result.partId())) {
      throw new ProtocolException(
          server, FrameType.RESULT + " frame", "part " + result.partId() + " is not in flight");
    }
  }
}
