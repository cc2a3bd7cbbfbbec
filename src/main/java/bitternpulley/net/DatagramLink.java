package bitternpulley.net;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.DatagramChannel;

/**
 * One UDP socket. The JDK has no asynchronous datagram channels, so a thread of its own receives
 * and hands each datagram to the event loop. It receives the next one only after that, so no queue
 * grows here.
 */
public final class DatagramLink {
  private static final System.Logger LOG = System.getLogger(DatagramLink.class.getName());

  /** Receives datagrams. */
  public interface Owner {
    /** Handles a datagram; the bytes are valid only during the call. */
    void received(byte[] bytes, int length, InetSocketAddress from);
  }

  private final EventLoop loop;
  private final DatagramChannel channel;
  private final Owner owner;

  /**
   * Opens and binds a socket. A datagram of more than {@code maxBytes} is delivered truncated to
   * {@code maxBytes + 1}, so that its length shows that it was too long.
   */
  public DatagramLink(EventLoop loop, HostPort address, int maxBytes, Owner owner)
      throws IOException {
    this.loop = loop;
    this.owner = owner;
    channel = DatagramChannel.open();
    try {
      channel.bind(address.address());
    } catch (IOException exception) {
      channel.close();
      throw exception;
    }
    Thread thread = new Thread(() -> receiveUntilClosed(maxBytes + 1), "datagrams");
    thread.setDaemon(true);
    thread.start();
  }

  private void receiveUntilClosed(int bufferBytes) {
    ByteBuffer buffer = ByteBuffer.allocate(bufferBytes);
    while (channel.isOpen()) {
      try {
        buffer.clear();
        SocketAddress from = channel.receive(buffer);
        loop.inTurn(
            () -> owner.received(buffer.array(), buffer.position(), (InetSocketAddress) from));
      } catch (ClosedChannelException exception) {
        return;
      } catch (IOException | RuntimeException exception) {
        // Supervised boundary: one failed datagram must not end the thread that receives them all.
        LOG.log(Level.WARNING, "Receiving a datagram failed", exception);
      }
    }
  }

  /** Sends a datagram; like any datagram it may be lost, so a failure is only logged. */
  public void send(byte[] bytes, InetSocketAddress to) {
    try {
      channel.send(ByteBuffer.wrap(bytes), to);
    } catch (IOException exception) {
      LOG.log(Level.DEBUG, "Sending a datagram failed", exception);
    }
  }

  /** Closes the socket and ends its thread. */
  public void close() {
    try {
      channel.close();
    } catch (IOException exception) {
      LOG.log(Level.DEBUG, "Closing a datagram socket failed", exception);
    }
  }
}
