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
 * All links of a cluster, by the names of their two ends: datagram links between processes, and
 * stream links from processes to slot servers and to discovery.
 */
final class ClusterLinks implements AutoCloseable {
  private final DatagramProxy datagrams;
  private final StreamProxy streams = new StreamProxy();
  private final Map<List<String>, DirectedLink> links = new HashMap<>();
  private final Map<List<String>, HostPort> proxyAddresses = new HashMap<>();
  private final long seed;

  /** Creates the links among the processes and from each process to each slot server. */
  ClusterLinks(int nodeCount, Fleet fleet, long seed) throws IOException {
    this.seed = seed;
    datagrams = new DatagramProxy(nodeCount, seed);
    for (int node = 0; node < nodeCount; node++) {
      for (int peer = 0; peer < nodeCount; peer++) {
        if (node != peer) {
          links.put(List.of("n" + node, "n" + peer), datagrams.link(node, peer));
        }
      }
      for (SlotServer server : fleet.servers()) {
        openStream("n" + node, server.id(), server.frameAddress());
      }
    }
  }

  /**
   * Opens a stream link from a process to a server at {@code target}, and returns the address at
   * which the process reaches the server through the proxy.
   */
  HostPort openStream(String from, String to, HostPort target) throws IOException {
    DirectedLink forward = link(from, to);
    DirectedLink backward = link(to, from);
    HostPort proxyAddress = streams.open(target, forward, backward);
    proxyAddresses.put(List.of(from, to), proxyAddress);
    return proxyAddress;
  }

  private DirectedLink link(String from, String to) {
    return links.computeIfAbsent(
        List.of(from, to), ends -> new DirectedLink(seed * 1_000_003 + ends.hashCode()));
  }

  /** Returns the address at which {@code from} reaches {@code to} through the proxy. */
  HostPort proxyAddress(String from, String to) {
    return proxyAddresses.get(List.of(from, to));
  }

  DatagramProxy datagrams() {
    return datagrams;
  }

  /**
   * Applies an action to each existing link from one of {@code from} to one of {@code to}, and to
   * the opposite direction too if {@code bothDirections}.
   */
  void forEach(
      Set<String> from, Set<String> to, boolean bothDirections, Consumer<DirectedLink> action) {
    links.forEach(
        (ends, link) -> {
          boolean forward = from.contains(ends.get(0)) && to.contains(ends.get(1));
          boolean backward =
              bothDirections && from.contains(ends.get(1)) && to.contains(ends.get(0));
          if (forward || backward) {
            action.accept(link);
          }
        });
  }

  @Override
  public void close() throws IOException {
    datagrams.close();
    streams.close();
  }
}
