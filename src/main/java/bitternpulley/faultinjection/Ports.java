package bitternpulley.faultinjection;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Ports for processes of a scenario. Guards against verdicts that change from run to run: a port of
 * the system's own range could be taken meanwhile by the way out of some connection, so these lie
 * below it.
 */
public final class Ports {
  private static final int FIRST = 15_000;
  private static final int COUNT = 15_000;
  private static final Set<Integer> GIVEN = ConcurrentHashMap.newKeySet();

  private Ports() {}

  /** A port that is free on the loopback host for TCP and UDP, and is given to nobody else here. */
  public static int free() throws IOException {
    return free(List.of("127.0.0.1"));
  }

  /** The same on all these hosts. */
  public static int free(List<String> hosts) throws IOException {
    while (true) {
      int port = FIRST + ThreadLocalRandom.current().nextInt(COUNT);
      if (isFree(hosts, port) && GIVEN.add(port)) {
        return port;
      }
    }
  }

  private static boolean isFree(List<String> hosts, int port) throws IOException {
    for (String host : hosts) {
      InetSocketAddress at = new InetSocketAddress(InetAddress.getByName(host), port);
      try (ServerSocket tcp = new ServerSocket();
          DatagramSocket udp = new DatagramSocket(null)) {
        tcp.bind(at);
        udp.bind(at);
      } catch (java.net.BindException e) {
        return false;
      }
    }
    return true;
  }
}
