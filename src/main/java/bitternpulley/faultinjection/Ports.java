package bitternpulley.faultinjection;

import java.io.IOException;
import java.net.BindException;
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
 * Allocates ports for the processes of a scenario. The ports lie below the range from which the
 * operating system assigns ports to outgoing connections. A locked file for each port keeps other
 * test programs on this machine from choosing the port between the choice and the bind; the
 * operating system releases the lock when this program ends.
 */
public final class Ports {
  private static final int FIRST_PORT = 15_000;
  private static final int PORT_COUNT = 15_000;
  private static final Path LOCK_DIRECTORY =
      Path.of(System.getProperty("java.io.tmpdir"), "bitternpulley-ports");

  /** The locks of the allocated ports, by port, held until this program ends. */
  private static final Map<Integer, FileLock> LOCKS = new ConcurrentHashMap<>();

  private Ports() {}

  /**
   * Reserves and returns a port that is free on the loopback host for TCP and UDP. No other test
   * program on this machine gets the same port while this program runs.
   */
  public static int reservePort() throws IOException {
    return reservePort(List.of("127.0.0.1"));
  }

  /** Reserves and returns a port that is free on all these hosts for TCP and UDP. */
  public static int reservePort(List<String> hosts) throws IOException {
    while (true) {
      int port = FIRST_PORT + ThreadLocalRandom.current().nextInt(PORT_COUNT);
      if (!LOCKS.containsKey(port) && isFree(hosts, port) && tryLock(port)) {
        return port;
      }
    }
  }

  private static synchronized boolean tryLock(int port) throws IOException {
    if (LOCKS.containsKey(port)) {
      return false;
    }
    Files.createDirectories(LOCK_DIRECTORY);
    FileChannel file =
        FileChannel.open(
            LOCK_DIRECTORY.resolve(Integer.toString(port)),
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE);
    FileLock lock = file.tryLock();
    if (lock == null) {
      file.close();
      return false;
    }
    LOCKS.put(port, lock);
    return true;
  }

  private static boolean isFree(List<String> hosts, int port) throws IOException {
    for (String host : hosts) {
      InetSocketAddress address = new InetSocketAddress(InetAddress.getByName(host), port);
      try (ServerSocket tcp = new ServerSocket();
          DatagramSocket udp = new DatagramSocket(null)) {
        tcp.bind(address);
        udp.bind(address);
      } catch (BindException exception) {
        return false;
      }
    }
    return true;
  }
}
