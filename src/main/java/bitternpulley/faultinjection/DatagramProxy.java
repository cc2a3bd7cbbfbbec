package bitternpulley.faultinjection;

import bitternpulley.net.HostPort;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Proxies datagrams between processes. Each process has a separate proxy address for each peer, to
 * which it sends and from which it receives that peer's datagrams. So each direction can fail
 * separately, and each process recognizes its peers by their addresses.
 */
public final class DatagramProxy implements AutoCloseable {
  private static final int MAX_DATAGRAM_BYTES = 2048;

  /**
   * A socket to which {@code node} sends its datagrams for {@code peer}, and from which it receives
   * the datagrams of {@code peer}.
   */
  private record ProxySocket(int node, int peer, DatagramChannel channel) {}

  private final Selector selector = Selector.open();
  private final ScheduledExecutorService delayedDeliveries =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task, "paths-later");
            thread.setDaemon(true);
            return thread;
          });
  private final ProxySocket[][] sockets;
  private final DirectedLink[][] links;
  private final List<HostPort> nodeAddresses = new ArrayList<>();
  private volatile boolean open = true;

  /** Starts a proxy between processes that are to listen at {@link #listenAddress}. */
  public DatagramProxy(int nodeCount, long seed) throws IOException {
    sockets = new ProxySocket[nodeCount][nodeCount];
    links = new DirectedLink[nodeCount][nodeCount];
    for (int node = 0; node < nodeCount; node++) {
      nodeAddresses.add(new HostPort("127.0.0.1", Ports.reservePort()));
      for (int peer = 0; peer < nodeCount; peer++) {
        links[node][peer] = new DirectedLink(seed * 1_000_003 + node * 1009L + peer);
        if (node != peer) {
          DatagramChannel channel = DatagramChannel.open();
          channel.bind(new HostPort("127.0.0.1", Ports.reservePort()).address());
          channel.configureBlocking(false);
          sockets[node][peer] = new ProxySocket(node, peer, channel);
          channel.register(selector, SelectionKey.OP_READ, sockets[node][peer]);
        }
      }
    }
    Thread thread = new Thread(this::run, "paths");
    thread.setDaemon(true);
    thread.start();
  }

  /** Returns the address at which a process is to listen. */
  public HostPort listenAddress(int node) {
    return nodeAddresses.get(node);
  }

  /**
   * Returns the addresses at which a process reaches all processes, by number; its own address is
   * among them.
   */
  public List<HostPort> peerAddresses(int node) throws IOException {
    List<HostPort> addresses = new ArrayList<>();
    for (int peer = 0; peer < sockets.length; peer++) {
      addresses.add(
          node == peer
              ? nodeAddresses.get(node)
              : new HostPort(
                  "127.0.0.1",
                  ((InetSocketAddress) sockets[node][peer].channel().getLocalAddress()).getPort()));
    }
    return addresses;
  }

  /** Returns the link from one process to another. */
  public DirectedLink link(int from, int to) {
    return links[from][to];
  }

  /** Returns how many bytes a process has sent in datagrams so far. */
  public long sentBytes(int node) {
    long sentBytes = 0;
    for (DirectedLink link : links[node]) {
      sentBytes += link.sentBytes();
    }
    return sentBytes;
  }

  private void run() {
    ByteBuffer buffer = ByteBuffer.allocate(MAX_DATAGRAM_BYTES);
    while (open) {
      try {
        selector.select(key -> receive((ProxySocket) key.attachment(), buffer));
      } catch (IOException exception) {
        return;
      }
    }
  }

  private void receive(ProxySocket socket, ByteBuffer buffer) {
    try {
      buffer.clear();
      while (socket.channel().receive(buffer) != null) {
        byte[] bytes = new byte[buffer.flip().remaining()];
        buffer.get(bytes).clear();
        DirectedLink link = links[socket.node()][socket.peer()];
        DirectedLink.Delivery delivery = link.nextDelivery(bytes.length, System.nanoTime() / 1e6);
        byte[] payload = delivery.corrupted() && bytes.length > 0 ? link.corrupt(bytes) : bytes;
        for (double delayMs : delivery.copyDelaysMs()) {
          if (delayMs <= 0) {
            deliver(socket, payload);
          } else {
            ScheduledFuture<?> unused =
                delayedDeliveries.schedule(
                    () -> deliver(socket, payload), (long) (delayMs * 1000), TimeUnit.MICROSECONDS);
          }
        }
      }
    } catch (IOException exception) {
      // The process at the other end is not running, which datagrams do not report.
    }
  }

  private void deliver(ProxySocket from, byte[] payload) {
    try {
      sockets[from.peer()][from.node()]
          .channel()
          .send(ByteBuffer.wrap(payload), nodeAddresses.get(from.peer()).address());
    } catch (IOException exception) {
      // The receiving process is not running, which datagrams do not report.
    }
  }

  @Override
  public void close() throws IOException {
    open = false;
    delayedDeliveries.shutdownNow();
    selector.wakeup();
    for (ProxySocket[] nodeSockets : sockets) {
      for (ProxySocket socket : nodeSockets) {
        if (socket != null) {
          socket.channel().close();
        }
      }
    }
  }
}
