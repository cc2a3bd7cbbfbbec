package bitternpulley.net;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.DatagramChannel;

/**
 * One UDP socket. The JDK has no asynchronous datagram channels, so a dedicated thread receives
 * datagrams and passes each one to the event loop. It receives the next datagram only after the
 * previous one is handled, so no queue grows here.
 */
public final class UdpSocket {
  private static final System.Logger LOG = System.getLogger(UdpSocket.class.getName());

  /** Receives datagrams. */
  public interface Handler {
    /** Handles a datagram; the bytes are valid only during the call. */
    void received(byte[] bytes, int length, InetSocketAddress from);
  }

  private final EventLoop loop;
  private final DatagramChannel channel;
  private final Handler handler;

  /**
   * Opens and binds a socket. A datagram of more than {@code maxBytes} is delivered truncated to
   * {@code maxBytes + 1}, so that its length shows that it was too long.
   */
  public UdpSocket(EventLoop loop, HostPort address, int maxBytes, Handler handler)
      throws IOException {
    this.loop = loop;
    this.handler = handler;
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
        loop.runInTurn(
            () -> handler.received(buffer.array(), buffer.position(), (InetSocketAddress) from));
      } catch (ClosedChannelException exception) {
        return;
      } catch (IOException | RuntimeException | Error failure) {
        // Supervised boundary: one failed datagram must not end the receiving thread.
        LOG.log(Level.WARNING, "Receiving a datagram failed", failure);
      }
    }
  }

  /** Sends a datagram. A failure is only logged, as any datagram may be lost. */
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
