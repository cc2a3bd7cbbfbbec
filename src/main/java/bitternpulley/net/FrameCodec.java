package bitternpulley.net;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.function.Consumer;

/**
 * Frames of a length (four bytes, least significant first, which covers letter and rest), a letter
 * and the rest.
 */
public final class FrameCodec {
  /** Bytes of a frame beyond which it is taken for garbage. */
  public static final int MOST = 64 * 1024;

  /** One frame. */
  public record Frame(char letter, byte[] rest) {}

  private ByteBuffer lengthBytes = ByteBuffer.allocate(4).order(ByteOrder.LITTLE_ENDIAN);
  private ByteBuffer body;

  /** The bytes of a frame. */
  public static ByteBuffer encode(char letter, byte[] rest) {
    return ByteBuffer.allocate(5 + rest.length)
        .order(ByteOrder.LITTLE_ENDIAN)
        .putInt(1 + rest.length)
        .put((byte) letter)
        .put(rest)
        .flip();
  }

  /** True between frames. */
  public boolean idle() {
    return body == null && lengthBytes.position() == 0;
  }

  /**
   * Reads bytes that come in any pieces; throws IllegalArgumentException on a length that no frame
   * has.
   */
  public void read(ByteBuffer in, Consumer<Frame> frames) {
    while (in.hasRemaining()) {
      if (body == null) {
        lengthBytes.put(in.get());
        if (!lengthBytes.hasRemaining()) {
          int length = lengthBytes.flip().getInt();
          lengthBytes.clear();
          if (length < 1 || length > MOST) {
            throw new IllegalArgumentException("a frame of " + length + " bytes");
          }
          body = ByteBuffer.allocate(length);
        }
      } else {
        int size = Math.min(body.remaining(), in.remaining());
        body.put(in.slice(in.position(), size));
        in.position(in.position() + size);
      }
      if (body != null && !body.hasRemaining()) {
        byte[] rest = new byte[body.capacity() - 1];
        body.flip();
        char letter = (char) (body.get() & 0xff);
        body.get(rest);
        body = null;
        frames.accept(new Frame(letter, rest));
      }
    }
  }
}
