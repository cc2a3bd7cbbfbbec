package bitternpulley.faultinjection;

import bitternpulley.emulator.Fleet;
import bitternpulley.emulator.SlotServer;
import bitternpulley.net.HostPort;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Every way of a cluster, by the names of its ends: datagrams between processes, streams to slot
 * servers and to discovery.
 */
final class Ways implements AutoCloseable {
  private final DatagramPaths datagrams;
  private final StreamPaths streams = new StreamPaths();
  private final Map<List<String>, Path> paths = new HashMap<>();
  private final Map<List<String>, HostPort> addresses = new HashMap<>();
  private final long seed;

  Ways(int nodes, Fleet fleet, long seed) throws IOException {
    this.seed = seed;
    datagrams = new DatagramPaths(nodes, seed);
    for (int a = 0; a < nodes; a++) {
      for (int b = 0; b < nodes; b++) {
        if (a != b) {
          paths.put(List.of("n" + a, "n" + b), datagrams.path(a, b));
        }
      }
      for (SlotServer s : fleet.servers()) {
        stream("n" + a, s.id(), s.frameAddress());
      }
    }
  }

  /** A way from a process to where it connects, and the address at which the process finds it. */
  HostPort stream(String from, String to, HostPort at) throws IOException {
    Path there = path(from, to);
    Path back = path(to, from);
    HostPort found = streams.open(at, there, back);
    addresses.put(List.of(from, to), found);
    return found;
  }

  private Path path(String from, String to) {
    return paths.computeIfAbsent(
        List.of(from, to), ends -> new Path(seed * 1_000_003 + ends.hashCode()));
  }

  HostPort address(String from, String to) {
    return addresses.get(List.of(from, to));
  }

  DatagramPaths datagrams() {
    return datagrams;
  }

  /**
   * Does something to each way from one of these to one of those, where there is one; both ways if
   * asked.
   */
  void each(Set<String> from, Set<String> to, boolean both, Consumer<Path> fault) {
    paths.forEach(
        (ends, path) -> {
          boolean there = from.contains(ends.get(0)) && to.contains(ends.get(1));
          boolean back = both && from.contains(ends.get(1)) && to.contains(ends.get(0));
          if (there || back) {
            fault.accept(path);
          }
        });
  }

  @Override
  public void close() throws IOException {
    datagrams.close();
    streams.close();
  }
}
