package bitternpulley.net;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.function.Consumer;

/**
 * Encodes and decodes frames: a length of four bytes, least significant first, that covers letter
 * and rest; a letter; the rest.
 */
public final class FrameCodec {
  /** The largest length of a frame in bytes; anything longer is an error of the peer. */
  public static final int MAX_FRAME_BYTES = 64 * 1024;

  private static final int LENGTH_BYTES = 4;
  private static final int LETTER_BYTES = 1;

  /**
   * One frame.
   *
   * @param letter the type of the frame
   * @param rest the bytes behind the letter
   */
  @SuppressWarnings("ArrayRecordComponent") // Frames are never compared, and a copy would cost.
  public record Frame(char letter, byte[] rest) {}

  private final ByteBuffer lengthBytes =
      ByteBuffer.allocate(LENGTH_BYTES).order(ByteOrder.LITTLE_ENDIAN);
  private ByteBuffer body;

  /** Returns the bytes of a frame. */
  public static ByteBuffer encode(char letter, byte[] rest) {
    return ByteBuffer.allocate(LENGTH_BYTES + LETTER_BYTES + rest.length)
        .order(ByteOrder.LITTLE_ENDIAN)
        .putInt(LETTER_BYTES + rest.length)
        .put((byte) letter)
        .put(rest)
        .flip();
  }

  /** Returns true between frames. */
  public boolean idle() {
    return body == null && lengthBytes.position() == 0;
  }

  /**
   * Decodes bytes that arrive in pieces of any size and hands on each frame as it completes.
   *
   * @throws FrameException on a length that no frame may have
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
    if (length < LETTER_BYTES || length > MAX_FRAME_BYTES) {
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
    byte[] rest = new byte[body.capacity() - LETTER_BYTES];
    body.flip();
    char letter = (char) (body.get() & 0xff);
    body.get(rest);
    body = null;
    return new Frame(letter, rest);
  }
}
