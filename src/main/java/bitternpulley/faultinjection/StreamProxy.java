package bitternpulley.faultinjection;

import bitternpulley.net.HostPort;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Proxies TCP connections between a process and the servers to which it connects. Each proxied link
 * has a listening address of its own, and each direction has a {@link DirectedLink} of its own. A
 * connection that lost bytes in a cut cannot continue; it is reset once the cut is healed, as when
 * a machine comes back. One difference from a real cut remains: the operating system still accepts
 * new connections, which then stay silent.
 */
public final class StreamProxy implements AutoCloseable {
  /** Interval between checks for chunks that are due and for links that were cut or healed. */
  private static final long POLL_INTERVAL_MS = 2;

  private static final int READ_BUFFER_BYTES = 16 * 1024;

  /** Number of queued bytes in one direction above which nothing more is read. */
  private static final int MAX_QUEUED_BYTES = 256 * 1024;

  private static final int BACKLOG = 512;

  /** The target of the connections that a listener accepts, and the link of each direction. */
  private record Route(HostPort target, DirectedLink forward, DirectedLink backward) {}

  /** Bytes that were read together, and when they are due at the receiver. */
  private record Chunk(ByteBuffer bytes, double dueMs) {}

  /** One direction of a connection. */
  private static final class Flow {
    final DirectedLink link;
    final SocketChannel source;
    final SocketChannel destination;
    final ArrayDeque<Chunk> chunks = new ArrayDeque<>();
    int queuedBytes;
    double lastDueMs = Double.NEGATIVE_INFINITY;
    boolean sourceEnded;
    boolean finished;

    Flow(DirectedLink link, SocketChannel source, SocketChannel destination) {
      this.link = link;
      this.source = source;
      this.destination = destination;
    }
  }

  /** Both directions of a proxied connection. */
  private static final class ProxiedConnection {
    final Flow forward;
    final Flow backward;

    /** Whether the connection lost bytes or was opened in a cut, so that it must be reset. */
    boolean brokenByCut;

    ProxiedConnection(Flow forward, Flow backward) {
      this.forward = forward;
      this.backward = backward;
    }
  }

  private final Selector selector = Selector.open();
  private final List<ProxiedConnection> connections = new ArrayList<>();
  private final ByteBuffer buffer = ByteBuffer.allocate(READ_BUFFER_BYTES);
  private volatile boolean open = true;

  /** Starts a proxy without links. */
  public StreamProxy() throws IOException {
    Thread thread = new Thread(this::run, "stream-paths");
    thread.setDaemon(true);
    thread.start();
  }

  /** Opens a new address whose connections are forwarded to {@code target} over these links. */
  public HostPort open(HostPort target, DirectedLink forward, DirectedLink backward)
      throws IOException {
    ServerSocketChannel listener = ServerSocketChannel.open();
    HostPort proxyAddress = new HostPort("127.0.0.1", Ports.reservePort());
    listener.bind(proxyAddress.address(), BACKLOG);
    listener.configureBlocking(false);
    // Registration blocks while the selector selects, so the selector is woken up first.
    synchronized (this) {
      selector.wakeup();
      listener.register(selector, SelectionKey.OP_ACCEPT, new Route(target, forward, backward));
    }
    return proxyAddress;
  }

  private static double now() {
    return System.nanoTime() / 1e6;
  }

  private void run() {
    while (open) {
      try {
        synchronized (this) {
          // waits until a registration in progress has ended
        }
        selector.select(this::handleReady, POLL_INTERVAL_MS);
        connections.removeIf(this::advance);
      } catch (IOException | ClosedSelectorException exception) {
        return;
      }
    }
  }

  private void handleReady(SelectionKey key) {
    if (key.attachment() instanceof Route route) {
      accept(key, route);
    } else if (key.attachment() instanceof ProxiedConnection connection) {
      read(
          key.channel() == connection.forward.source ? connection.forward : connection.backward,
          connection);
    }
  }

  private void accept(SelectionKey key, Route route) {
    try {
      SocketChannel client = ((ServerSocketChannel) key.channel()).accept();
      if (client == null) {
        return;
      }
      client.setOption(StandardSocketOptions.TCP_NODELAY, true);
      boolean silent = route.forward().isCut() || route.backward().isCut();
      SocketChannel server = null;
      try {
        if (route.forward().isResetting() || route.backward().isResetting()) {
          throw new IOException("the link refuses connections");
        }
        HostPort target = route.target();
        server =
            silent ? null : SocketChannel.open(new InetSocketAddress(target.host(), target.port()));
      } catch (IOException exception) {
        reset(client);
        return;
      }
      ProxiedConnection connection =
          new ProxiedConnection(
              new Flow(route.forward(), client, server),
              new Flow(route.backward(), server, client));
      connection.brokenByCut = silent;
      connections.add(connection);
      client.configureBlocking(false);
      client.register(selector, SelectionKey.OP_READ, connection);
      if (server != null) {
        server.setOption(StandardSocketOptions.TCP_NODELAY, true);
        server.configureBlocking(false);
        server.register(selector, SelectionKey.OP_READ, connection);
      }
    } catch (IOException exception) {
      // the client disconnected before it was accepted
    }
  }

  private void read(Flow flow, ProxiedConnection connection) {
    if (flow.queuedBytes > MAX_QUEUED_BYTES || flow.sourceEnded) {
      return;
    }
    try {
      buffer.clear();
      int count = flow.source.read(buffer);
      if (count < 0) {
        flow.sourceEnded = true;
        flow.source.keyFor(selector).interestOps(0);
      } else if (count > 0) {
        byte[] bytes = new byte[buffer.flip().remaining()];
        buffer.get(bytes);
        if (flow.link.isCut() || flow.destination == null) {
          connection.brokenByCut = true;
          return;
        }
        flow.lastDueMs = flow.link.chunkDueMs(bytes.length, now(), flow.lastDueMs);
        flow.chunks.add(
            new Chunk(
                ByteBuffer.wrap(flow.link.corruptsNextChunk() ? flow.link.corrupt(bytes) : bytes),
                flow.lastDueMs));
        flow.queuedBytes += bytes.length;
      }
    } catch (IOException exception) {
      reset(connection);
    }
  }

  /** Forwards the chunks that are due; returns true when the connection has ended. */
  private boolean advance(ProxiedConnection connection) {
    DirectedLink forward = connection.forward.link;
    DirectedLink backward = connection.backward.link;
    boolean cut = forward.isCut() || backward.isCut();
    boolean broken =
        forward.isResetting() || backward.isResetting() || (connection.brokenByCut && !cut);
    if (broken || !connection.forward.source.isOpen()) {
      reset(connection);
      return true;
    }
    try {
      forward(connection.forward, connection);
      forward(connection.backward, connection);
    } catch (IOException exception) {
      reset(connection);
      return true;
    }
    if (connection.forward.finished && connection.backward.finished) {
      close(connection);
      return true;
    }
    return false;
  }

  /**
   * Closes a connection that both sides have ended. It is not reset, because a reset could overtake
   * the bytes that were forwarded last.
   */
  private static void close(ProxiedConnection connection) {
    try {
      connection.forward.source.close();
      connection.forward.destination.close();
    } catch (IOException exception) {
      // already closed
    }
  }

  private void forward(Flow flow, ProxiedConnection connection) throws IOException {
    if (flow.destination == null) {
      return;
    }
    if (flow.link.isCut()) {
      connection.brokenByCut |= !flow.chunks.isEmpty();
      return;
    }
    while (!flow.chunks.isEmpty() && flow.chunks.peek().dueMs() <= now()) {
      ByteBuffer bytes = flow.chunks.peek().bytes();
      flow.queuedBytes -= flow.destination.write(bytes);
      if (bytes.hasRemaining()) {
        return;
      }
      flow.chunks.poll();
    }
    if (flow.sourceEnded && flow.chunks.isEmpty() && !flow.finished) {
      flow.finished = true;
      flow.destination.shutdownOutput();
    }
  }

  private static void reset(ProxiedConnection connection) {
    reset(connection.forward.source);
    if (connection.forward.destination != null) {
      reset(connection.forward.destination);
    }
  }

  private static void reset(SocketChannel channel) {
    try {
      channel.setOption(StandardSocketOptions.SO_LINGER, 0);
      channel.close();
    } catch (IOException exception) {
      // already closed
    }
  }

  @Override
  public void close() throws IOException {
    open = false;
    for (SelectionKey key : selector.keys()) {
      key.channel().close();
    }
    selector.close();
  }
}
