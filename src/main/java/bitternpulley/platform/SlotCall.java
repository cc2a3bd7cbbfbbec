package bitternpulley.platform;

import bitternpulley.broker.AttemptId;
import bitternpulley.broker.Effect;
import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A call to a slot server: the parts that one frame carries, and whether it has been written. */
final class SlotCall {
  /**
   * One part of a call.
   *
   * @param call the call it belongs to
   * @param attempt the attempt at the part
   * @param id its id on the wire
   * @param section its section of the call's frame
   */
  @SuppressWarnings("ArrayRecordComponent") // Parts are never compared, and the section is shared.
  record Part(SlotCall call, Effect.StartAttempt attempt, String id, byte[] section) {}

  private final Map<AttemptId, Part> parts = new LinkedHashMap<>();
  private ByteBuffer frame;
  private boolean written;
  private long readsBeforeWrite;

  /** Adds a part and returns it. */
  Part add(Effect.StartAttempt attempt) {
    String id = SlotFrames.partId(attempt);
    Part part = new Part(this, attempt, id, SlotFrames.callSection(attempt, id));
    parts.put(attempt.id(), part);
    return part;
  }

  void remove(AttemptId attempt) {
    parts.remove(attempt);
  }

  boolean isEmpty() {
    return parts.isEmpty();
  }

  List<Effect.StartAttempt> attempts() {
    return parts.values().stream().map(Part::attempt).toList();
  }

  /** The attempts that may not be sent any more at this time, in ms. */
  List<AttemptId> expiredAt(double now) {
    return parts.entrySet().stream()
        .filter(p -> now > p.getValue().attempt().sendBy())
        .map(Map.Entry::getKey)
        .toList();
  }

  /**
   * Encodes the parts as the frame to write.
   *
   * @param reads how often the connection was read before
   */
  ByteBuffer encode(long reads) {
    readsBeforeWrite = reads;
    frame = SlotFrames.call(parts.values().stream().map(Part::section).toList());
    return frame;
  }

  /** The frame encoded last. */
  ByteBuffer frame() {
    return frame;
  }

  void markWritten() {
    written = true;
  }

  /** Whether the frame's last byte was written, so that the parts may have run. */
  boolean isWritten() {
    return written;
  }

  /** How often the connection had been read when the frame was handed over for writing. */
  long readsBeforeWrite() {
    return readsBeforeWrite;
  }
}
