package bitternpulley.faultinjection;

import bitternpulley.net.HostPort;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Stands between a process and those it connects to: each such way has an address of its own, and
 * each direction a path of its own. A stream that was cut while bytes were on their way cannot go
 * on; it is reset once the cut is mended, as after a machine that comes back. One difference to a
 * real cut stays: the machine itself accepts new connections, which then are silent.
 */
public final class StreamPaths implements AutoCloseable {
  /** Ms between looks at what is due and at paths that were cut or mended meanwhile. */
  private static final long LOOK = 2;

  private static final int READ = 16 * 1024;

  /** Bytes that wait in one direction; beyond, nothing is read. */
  private static final int MOST_WAITING = 256 * 1024;

  private static final int BACKLOG = 512;

  private record Way(HostPort to, Path there, Path back) {}

  private record Piece(ByteBuffer bytes, double due) {}

  /** One direction of a connection. */
  private static final class Flow {
    final Path path;
    final SocketChannel from;
    final SocketChannel to;
    final ArrayDeque<Piece> pieces = new ArrayDeque<>();
    int waiting;
    double ahead = Double.NEGATIVE_INFINITY;
    boolean ended;
    boolean over;

    Flow(Path path, SocketChannel from, SocketChannel to) {
      this.path = path;
      this.from = from;
      this.to = to;
    }
  }

  private static final class Link {
    final Flow there;
    final Flow back;
    boolean spoilt;

    Link(Flow there, Flow back) {
      this.there = there;
      this.back = back;
    }
  }

  private final Selector selector = Selector.open();
  private final List<Link> links = new ArrayList<>();
  private final ByteBuffer buffer = ByteBuffer.allocate(READ);
  private volatile boolean open = true;

  /** Ways that are still to be opened. */
  public StreamPaths() throws IOException {
    Thread thread = new Thread(this::run, "stream-paths");
    thread.setDaemon(true);
    thread.start();
  }

  /** A new address from which all goes on to {@code to}, by these paths. */
  public HostPort open(HostPort to, Path there, Path back) throws IOException {
    ServerSocketChannel listener = ServerSocketChannel.open();
    HostPort at = new HostPort("127.0.0.1", Ports.free());
    listener.bind(at.address(), BACKLOG);
    listener.configureBlocking(false);
    // Not registered while the selector selects: it would wait.
    synchronized (this) {
      selector.wakeup();
      listener.register(selector, SelectionKey.OP_ACCEPT, new Way(to, there, back));
    }
    return at;
  }

  private static double now() {
    return System.nanoTime() / 1e6;
  }

  private void run() {
    while (open) {
      try {
        synchronized (this) {
          // lets whoever opens a way register it
        }
        selector.select(this::ready, LOOK);
        links.removeIf(this::goOn);
      } catch (IOException | java.nio.channels.ClosedSelectorException e) {
        return;
      }
    }
  }

  private void ready(SelectionKey key) {
    if (key.attachment() instanceof Way way) {
      accept(key, way);
    } else if (key.attachment() instanceof Link link) {
      read(key.channel() == link.there.from ? link.there : link.back, link);
    }
  }

  private void accept(SelectionKey key, Way way) {
    try {
      SocketChannel from = ((ServerSocketChannel) key.channel()).accept();
      if (from == null) {
        return;
      }
      from.setOption(StandardSocketOptions.TCP_NODELAY, true);
      boolean silent = way.there().isCut() || way.back().isCut();
      SocketChannel to = null;
      try {
        if (way.there().resets() || way.back().resets()) {
          throw new IOException("it is to be refused");
        }
        to =
            silent
                ? null
                : SocketChannel.open(new InetSocketAddress(way.to().host(), way.to().port()));
      } catch (IOException e) {
        reset(from);
        return;
      }
      Link link = new Link(new Flow(way.there(), from, to), new Flow(way.back(), to, from));
      link.spoilt = silent;
      links.add(link);
      from.configureBlocking(false);
      from.register(selector, SelectionKey.OP_READ, link);
      if (to != null) {
        to.setOption(StandardSocketOptions.TCP_NODELAY, true);
        to.configureBlocking(false);
        to.register(selector, SelectionKey.OP_READ, link);
      }
    } catch (IOException e) {
      // it left before it was taken in
    }
  }

  private void read(Flow flow, Link link) {
    if (flow.waiting > MOST_WAITING || flow.ended) {
      return;
    }
    try {
      buffer.clear();
      int count = flow.from.read(buffer);
      if (count < 0) {
        flow.ended = true;
        flow.from.keyFor(selector).interestOps(0);
      } else if (count > 0) {
        byte[] bytes = new byte[buffer.flip().remaining()];
        buffer.get(bytes);
        if (flow.path.isCut() || flow.to == null) {
          link.spoilt = true;
          return;
        }
        flow.ahead = flow.path.passes(bytes.length, now(), flow.ahead);
        flow.pieces.add(
            new Piece(
                ByteBuffer.wrap(flow.path.spoils() ? flow.path.spoil(bytes) : bytes), flow.ahead));
        flow.waiting += bytes.length;
      }
    } catch (IOException e) {
      end(link);
    }
  }

  /** Passes on what is due; true when the connection is over. */
  private boolean goOn(Link link) {
    boolean cut = link.there.path.isCut() || link.back.path.isCut();
    boolean dead = link.there.path.resets() || link.back.path.resets() || link.spoilt && !cut;
    if (dead || !link.there.from.isOpen()) {
      end(link);
      return true;
    }
    try {
      pass(link.there, link);
      pass(link.back, link);
    } catch (IOException e) {
      end(link);
      return true;
    }
    if (link.there.over && link.back.over) {
      over(link);
      return true;
    }
    return false;
  }

  /** Both sides have ended it: no reset, which could overtake what was passed on last. */
  private static void over(Link link) {
    try {
      link.there.from.close();
      link.there.to.close();
    } catch (IOException e) {
      // it is over already
    }
  }

  private void pass(Flow flow, Link link) throws IOException {
    if (flow.to == null) {
      return;
    }
    if (flow.path.isCut()) {
      link.spoilt |= !flow.pieces.isEmpty();
      return;
    }
    while (!flow.pieces.isEmpty() && flow.pieces.peek().due() <= now()) {
      ByteBuffer bytes = flow.pieces.peek().bytes();
      flow.waiting -= flow.to.write(bytes);
      if (bytes.hasRemaining()) {
        return;
      }
      flow.pieces.poll();
    }
    if (flow.ended && flow.pieces.isEmpty() && !flow.over) {
      flow.over = true;
      flow.to.shutdownOutput();
    }
  }

  private static void end(Link link) {
    reset(link.there.from);
    if (link.there.to != null) {
      reset(link.there.to);
    }
  }

  private static void reset(SocketChannel channel) {
    try {
      channel.setOption(StandardSocketOptions.SO_LINGER, 0);
      channel.close();
    } catch (IOException e) {
      // it is over already
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
