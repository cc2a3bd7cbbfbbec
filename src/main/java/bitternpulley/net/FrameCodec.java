package bitternpulley.net;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.function.Consumer;

/**
 * Encodes and decodes frames. A frame consists of a four-byte little-endian length, which counts
 * the type code and the payload; a type code of one byte; and the payload.
 */
public final class FrameCodec {
  /** Maximum length of a frame in bytes; a longer frame is an error of the peer. */
  public static final int MAX_FRAME_BYTES = 64 * 1024;

  private static final int LENGTH_BYTES = 4;
  private static final int TYPE_CODE_BYTES = 1;

  /**
   * One frame.
   *
   * @param typeCode the type code of the frame
   * @param payload the payload
   */
  @SuppressWarnings("ArrayRecordComponent") // Frames are never compared, and a copy would cost.
  public record Frame(char typeCode, byte[] payload) {}

  private final ByteBuffer lengthBytes =
      ByteBuffer.allocate(LENGTH_BYTES).order(ByteOrder.LITTLE_ENDIAN);
  private ByteBuffer body;

  /** Returns the bytes of a frame. */
  public static ByteBuffer encode(char typeCode, byte[] payload) {
    return ByteBuffer.allocate(LENGTH_BYTES + TYPE_CODE_BYTES + payload.length)
        .order(ByteOrder.LITTLE_ENDIAN)
        .putInt(TYPE_CODE_BYTES + payload.length)
        .put((byte) typeCode)
        .put(payload)
        .flip();
  }

  /** Returns true when no frame is incomplete. */
  public boolean isBetweenFrames() {
    return body == null && lengthBytes.position() == 0;
  }

  /**
   * Decodes bytes that arrive in pieces of any size and passes on each frame as it completes.
   *
   * @throws FrameException when a frame has an invalid length
   */
  public void read(ByteBuffer in, Consumer<Frame> frames) {
    while (in.hasRemaining()) {
      if (body == null) {
        readLength(in);
      } else {
        readBody(in);
      }
      if (body != null && !body.hasRemaining()) {
        frames.accept(takeFrame());
      }
    }
  }

  private void readLength(ByteBuffer in) {
    lengthBytes.put(in.get());
    if (lengthBytes.hasRemaining()) {
      return;
    }
    int length = lengthBytes.flip().getInt();
    lengthBytes.clear();
    if (length < TYPE_CODE_BYTES || length > MAX_FRAME_BYTES) {
      throw new FrameException("a frame of " + length + " bytes");
    }
    body = ByteBuffer.allocate(length);
  }

  private void readBody(ByteBuffer in) {
    int size = Math.min(body.remaining(), in.remaining());
    body.put(body.position(), in, in.position(), size);
    body.position(body.position() + size);
    in.position(in.position() + size);
  }

  private Frame takeFrame() {
    byte[] payload = new byte[body.capacity() - TYPE_CODE_BYTES];
    body.flip();
    char typeCode = (char) (body.get() & 0xff);
    body.get(payload);
    body = null;
    return new Frame(typeCode, payload);
  }
}
