package bitternpulley.faultinjection;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Ports for processes of a scenario. They lie below the system's own range, from which outgoing
 * connections take theirs. A locked file for each port keeps other test programs on this machine
 * from choosing it between the choice and the bind; the system releases it with this program.
 */
public final class Ports {
  private static final int FIRST = 15_000;
  private static final int COUNT = 15_000;
  private static final Path LOCKS =
      Path.of(System.getProperty("java.io.tmpdir"), "bitternpulley-ports");

  /** Held until this program ends, by port. */
  private static final Map<Integer, FileLock> RESERVED = new ConcurrentHashMap<>();

  private Ports() {}

  /** A port that is free on the loopback host for TCP and UDP, and is given to nobody else here. */
  public static int free() throws IOException {
    return free(List.of("127.0.0.1"));
  }

  /** The same on all these hosts. */
  public static int free(List<String> hosts) throws IOException {
    while (true) {
      int port = FIRST + ThreadLocalRandom.current().nextInt(COUNT);
      if (!RESERVED.containsKey(port) && isFree(hosts, port) && reserve(port)) {
        return port;
      }
    }
  }

  private static synchronized boolean reserve(int port) throws IOException {
    if (RESERVED.containsKey(port)) {
      return false;
    }
    Files.createDirectories(LOCKS);
    FileChannel file =
        FileChannel.open(
            LOCKS.resolve(Integer.toString(port)),
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE);
    FileLock lock = file.tryLock();
    if (lock == null) {
      file.close();
      return false;
    }
    RESERVED.put(port, lock);
    return true;
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
