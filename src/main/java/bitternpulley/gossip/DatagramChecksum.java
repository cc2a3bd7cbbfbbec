package bitternpulley.gossip;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * The checksum of a datagram: the CRC-32C of all bytes before it. The checksum is the last element
 * of the datagram's array, a CBOR byte string of four bytes. Changes within 32 consecutive bits are
 * always detected.
 */
final class DatagramChecksum {
  /** Length of the checksum in bytes, without its CBOR header of one byte. */
  static final int BYTES = Integer.BYTES;

  private DatagramChecksum() {}

  /** Overwrites the last {@link #BYTES} bytes with the checksum of all preceding bytes. */
  static void write(byte[] datagram) {
    int position = datagram.length - BYTES;
    ByteBuffer.wrap(datagram).putInt(position, compute(datagram, position));
  }

  /**
   * Whether the last {@link #BYTES} of the first {@code length} bytes are the checksum of the bytes
   * before them.
   */
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
