package bitternpulley.emulator;

import bitternpulley.net.Connection;
import bitternpulley.net.EventLoop;
import bitternpulley.net.HostPort;
import bitternpulley.net.StreamServer;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Emulates discovery. Every connection is treated as a watch, on which the service sends the full
 * endpoint list, then every change, and heartbeats in between.
 */
final class DiscoveryService {
  /** Interval between the empty lines that are sent as heartbeats. */
  private static final double HEARTBEAT_MS = 2000;

  private final EventLoop loop;
  private final Set<Watch> watches = new LinkedHashSet<>();
  private final Supplier<String> fullList;

  /** Creates a service that sends each new watch the line that {@code fullList} returns. */
  DiscoveryService(EventLoop loop, Supplier<String> fullList) {
    this.loop = loop;
    this.fullList = fullList;
    loop.schedule(HEARTBEAT_MS, this::sendHeartbeat);
  }

  /** Starts to listen at any free port of a host and returns the address. */
  HostPort listen(String host) throws IOException {
    return new StreamServer(Watch::new).listen(loop, new HostPort(host, 0));
  }

  /** Sends a line to all watches. */
  void publish(String line) {
    Set.copyOf(watches).forEach(watch -> watch.writeLine(line));
  }

  private void sendHeartbeat() {
    publish("");
    loop.schedule(HEARTBEAT_MS, this::sendHeartbeat);
  }

  /** A connection that watches the endpoint list. */
  private final class Watch implements Connection.Owner {
    private final Connection connection;
    private String requestHead = "";

    Watch(Connection connection) {
      this.connection = connection;
    }

    @Override
    public void received(ByteBuffer bytes) {
      requestHead += StandardCharsets.ISO_8859_1.decode(bytes);
      if (requestHead.contains("\r\n\r\n") && watches.add(this)) {
        write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        writeLine(fullList.get());
      } else if (requestHead.length() > 8192) {
        connection.close();
      }
    }

    void writeLine(String text) {
      write(Integer.toHexString(text.length() + 1) + "\r\n" + text + "\n\r\n");
    }

    private void write(String text) {
      connection.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII)), () -> {});
    }

    @Override
    public void closed() {
      watches.remove(this);
    }
  }
}
