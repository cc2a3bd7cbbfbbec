package bitternpulley.platform;

import bitternpulley.broker.AttemptId;
import bitternpulley.broker.Effect;
import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A call to a slot server: the parts that one frame carries, and whether the frame has been
 * written.
 */
final class SlotCall {
  /**
   * One part of a call.
   *
   * @param call the call that the part belongs to
   * @param attempt the attempt at the part
   * @param id the id of the part on the wire
   * @param section the section of the call's frame for this part
   */
  @SuppressWarnings("ArrayRecordComponent") // Parts are never compared, and the array is shared.
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

  /** Returns the attempts that may no longer be sent at the time {@code now}, in ms. */
  List<AttemptId> expiredAt(double now) {
    return parts.entrySet().stream()
        .filter(entry -> now > entry.getValue().attempt().sendBy())
        .map(Map.Entry::getKey)
        .toList();
  }

  /**
   * Encodes the parts as the frame to write.
   *
   * @param reads the number of reads from the connection so far
   */
  ByteBuffer encode(long reads) {
    readsBeforeWrite = reads;
    frame = SlotFrames.encodeCall(parts.values().stream().map(Part::section).toList());
    return frame;
  }

  /** The last frame encoded. */
  ByteBuffer frame() {
    return frame;
  }

  void markWritten() {
    written = true;
  }

  /** Whether the last byte of the frame was written, so that the parts may have run. */
  boolean isWritten() {
    return written;
  }

  /** The number of reads from the connection before the frame was queued for writing. */
  long readsBeforeWrite() {
    return readsBeforeWrite;
  }
}
