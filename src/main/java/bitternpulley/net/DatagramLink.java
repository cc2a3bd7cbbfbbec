package bitternpulley.net;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.DatagramChannel;

/**
 * One UDP socket. The JDK has no asynchronous datagram channels, so a thread waits for it and hands
 * each datagram to the loop; that thread takes the next one only then, so nothing piles up here.
 */
public final class DatagramLink {
  private static final System.Logger LOG = System.getLogger(DatagramLink.class.getName());

  /** Takes datagrams; the bytes are lent for the call. */
  public interface Owner {
    void received(byte[] bytes, int length, InetSocketAddress from);
  }

  private final EventLoop loop;
  private final DatagramChannel channel;
  private final Owner owner;

  /**
   * Opens and binds; datagrams of more than {@code most} bytes come as longer than that, cut off.
   */
  public DatagramLink(EventLoop loop, HostPort at, int most, Owner owner) throws IOException {
    this.loop = loop;
    this.owner = owner;
    channel = DatagramChannel.open();
    try {
      channel.bind(at.address());
    } catch (IOException e) {
      channel.close();
      throw e;
    }
    Thread thread = new Thread(() -> run(most + 1), "datagrams");
    thread.setDaemon(true);
    thread.start();
  }

  private void run(int most) {
    ByteBuffer buffer = ByteBuffer.allocate(most);
    while (channel.isOpen()) {
      try {
        buffer.clear();
        SocketAddress from = channel.receive(buffer);
        loop.inTurn(
            () -> owner.received(buffer.array(), buffer.position(), (InetSocketAddress) from));
      } catch (ClosedChannelException e) {
        return;
      } catch (IOException | RuntimeException e) {
        // Guards against one datagram's fault ending the thread that waits for all.
        LOG.log(Level.WARNING, "a datagram could not be taken", e);
      }
    }
  }

  /** Sends; a datagram may be lost, so one that the machine does not take is. */
  public void send(byte[] bytes, InetSocketAddress to) {
    try {
      channel.send(ByteBuffer.wrap(bytes), to);
    } catch (IOException e) {
      LOG.log(Level.DEBUG, "a datagram was not sent", e);
    }
  }

  public void close() {
    try {
      channel.close();
    } catch (IOException e) {
      LOG.log(Level.DEBUG, "closing a socket failed", e);
    }
  }
}
