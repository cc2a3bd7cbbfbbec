package bitternpulley.gossip;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * The checksum of a datagram: CRC-32C of all bytes before it, as the last element of its array, a
 * CBOR byte string of four bytes. Changes within 32 consecutive bits are always detected.
 */
final class DatagramChecksum {
  /** Bytes of the checksum itself; its CBOR header is one byte more. */
  static final int BYTES = Integer.BYTES;

  private DatagramChecksum() {}

  /** Replaces the last {@link #BYTES} bytes by the checksum of all before them. */
  static void seal(byte[] datagram) {
    int position = datagram.length - BYTES;
    ByteBuffer.wrap(datagram).putInt(position, compute(datagram, position));
  }

  /** Whether the last {@link #BYTES} of the first {@code length} bytes are their checksum. */
  static boolean isValid(byte[] datagram, int length) {
    int position = length - BYTES;
    return ByteBuffer.wrap(datagram).getInt(position) == compute(datagram, position);
  }

  private static int compute(byte[] datagram, int length) {
    CRC32C checksum = new CRC32C();
    checksum.update(datagram, 0, length);
    return (int) checksum.getValue();
  }
}
