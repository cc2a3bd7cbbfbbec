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

/**
 * Discovery: each connection is taken for a watch, is told the whole list, then every change and
 * the pulse between.
 */
final class DiscoveryService {
  /** Ms between empty lines while nothing changes. */
  private static final double PULSE = 2000;

  private final EventLoop loop;
  private final Set<Watch> watches = new LinkedHashSet<>();
  private final java.util.function.Supplier<String> whole;

  DiscoveryService(EventLoop loop, java.util.function.Supplier<String> whole) {
    this.loop = loop;
    this.whole = whole;
    loop.after(PULSE, this::pulse);
  }

  HostPort listen(String host) throws IOException {
    return new StreamServer(Watch::new).listen(loop, new HostPort(host, 0));
  }

  /** Tells all watches a change. */
  void tell(String change) {
    Set.copyOf(watches).forEach(w -> w.line(change));
  }

  private void pulse() {
    tell("");
    loop.after(PULSE, this::pulse);
  }

  private final class Watch implements Connection.Owner {
    private final Connection connection;
    private String head = "";

    Watch(Connection connection) {
      this.connection = connection;
    }

    @Override
    public void received(ByteBuffer bytes) {
      head += StandardCharsets.ISO_8859_1.decode(bytes);
      if (head.contains("\r\n\r\n") && watches.add(this)) {
        write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        line(whole.get());
      } else if (head.length() > 8192) {
        connection.close();
      }
    }

    void line(String text) {
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
