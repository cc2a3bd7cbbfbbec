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
import java.util.concurrent.TimeUnit;

/**
 * Stands between processes that send each other datagrams: each has, for each other, an address of
 * its own to send to, from which it also hears that other; so each direction fails by itself, and
 * each knows its peers by their addresses.
 */
public final class DatagramPaths implements AutoCloseable {
  private static final int MOST_BYTES = 2048;

  private record Door(int of, int towards, DatagramChannel channel) {}

  private final Selector selector = Selector.open();
  private final ScheduledExecutorService later =
      Executors.newSingleThreadScheduledExecutor(
          r -> {
            Thread thread = new Thread(r, "paths-later");
            thread.setDaemon(true);
            return thread;
          });
  private final Door[][] doors;
  private final Path[][] paths;
  private final List<HostPort> real = new ArrayList<>();
  private volatile boolean open = true;

  /** Paths among so many processes, whose own addresses are {@link #listen}. */
  public DatagramPaths(int count, long seed) throws IOException {
    doors = new Door[count][count];
    paths = new Path[count][count];
    for (int a = 0; a < count; a++) {
      real.add(new HostPort("127.0.0.1", Ports.free()));
      for (int b = 0; b < count; b++) {
        paths[a][b] = new Path(seed * 1_000_003 + a * 1009L + b);
        if (a != b) {
          DatagramChannel channel = DatagramChannel.open();
          channel.bind(new InetSocketAddress("127.0.0.1", Ports.free()));
          channel.configureBlocking(false);
          doors[a][b] = new Door(a, b, channel);
          channel.register(selector, SelectionKey.OP_READ, doors[a][b]);
        }
      }
    }
    Thread thread = new Thread(this::run, "paths");
    thread.setDaemon(true);
    thread.start();
  }

  /** Where a process is to listen. */
  public HostPort listen(int of) {
    return real.get(of);
  }

  /** The addresses at which a process finds the others, in order; its own among them. */
  public List<HostPort> peersOf(int of) throws IOException {
    List<HostPort> peers = new ArrayList<>();
    for (int b = 0; b < doors.length; b++) {
      peers.add(
          of == b
              ? real.get(of)
              : new HostPort(
                  "127.0.0.1",
                  ((InetSocketAddress) doors[of][b].channel().getLocalAddress()).getPort()));
    }
    return peers;
  }

  /** The way from one to another. */
  public Path path(int from, int to) {
    return paths[from][to];
  }

  /** Bytes that a process has sent so far. */
  public long bytesOf(int from) {
    long bytes = 0;
    for (Path p : paths[from]) {
      bytes += p.bytes();
    }
    return bytes;
  }

  private void run() {
    ByteBuffer buffer = ByteBuffer.allocate(MOST_BYTES);
    while (open) {
      try {
        selector.select(key -> take((Door) key.attachment(), buffer));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void take(Door door, ByteBuffer buffer) {
    try {
      buffer.clear();
      while (door.channel().receive(buffer) != null) {
        byte[] bytes = new byte[buffer.flip().remaining()];
        buffer.get(bytes).clear();
        Path path = paths[door.of()][door.towards()];
        Path.Fate fate = path.next(bytes.length, System.nanoTime() / 1e6);
        byte[] what = fate.garbled() && bytes.length > 0 ? path.spoil(bytes) : bytes;
        for (double after : fate.after()) {
          if (after <= 0) {
            deliver(door, what);
          } else {
            later.schedule(() -> deliver(door, what), (long) (after * 1000), TimeUnit.MICROSECONDS);
          }
        }
      }
    } catch (IOException e) {
      // the process at the other end is away, which a datagram does not tell
    }
  }

  private void deliver(Door door, byte[] what) {
    try {
      doors[door.towards()][door.of()]
          .channel()
          .send(ByteBuffer.wrap(what), real.get(door.towards()).address());
    } catch (IOException e) {
      // as above
    }
  }

  @Override
  public void close() throws IOException {
    open = false;
    later.shutdownNow();
    selector.wakeup();
    for (Door[] of : doors) {
      for (Door d : of) {
        if (d != null) {
          d.channel().close();
        }
      }
    }
  }
}
