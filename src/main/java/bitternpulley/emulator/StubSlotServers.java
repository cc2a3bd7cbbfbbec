package bitternpulley.emulator;

import bitternpulley.net.Connection;
import bitternpulley.net.EventLoop;
import bitternpulley.net.FrameCodec;
import bitternpulley.net.HostPort;
import bitternpulley.net.StreamServer;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;

/**
 * Emulates a large number of slot servers that do no work: each accepts frames on a loopback host
 * of its own and answers every part at once. Measurements use them to determine the costs on the
 * aggregator's side. Discovery sends the endpoint list once and then only heartbeats. The servers
 * are spread over a few event loops.
 */
public final class StubSlotServers {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** Number of hosts in each block 127.4.N.0/24; their last byte counts from 1. */
  private static final int HOSTS_PER_BLOCK = 250;

  private static final String ZONE = "a";

  private final List<EventLoop> loops;
  private final List<HostPort> addresses;
  private final AtomicInteger openConnections = new AtomicInteger();
  private final AtomicLong answeredParts = new AtomicLong();
  private final HostPort discoveryAddress;

  /** Starts {@code serverCount} servers, one for each shard, and discovery. */
  public StubSlotServers(int serverCount, int loopCount) throws IOException {
    loops = IntStream.range(0, loopCount).mapToObj(ignored -> new EventLoop()).toList();
    List<HostPort> listenAddresses = new ArrayList<>();
    for (int server = 0; server < serverCount; server++) {
      String host = "127.4." + server / HOSTS_PER_BLOCK + "." + (1 + server % HOSTS_PER_BLOCK);
      listenAddresses.add(
          new StreamServer(Session::new)
              .listen(loops.get(server % loopCount), new HostPort(host, 0)));
    }
    addresses = List.copyOf(listenAddresses);
    String fullList = endpointList().toString();
    discoveryAddress = new DiscoveryService(loops.get(0), () -> fullList).listen("127.0.0.1");
  }

  /** Returns the address of discovery. */
  public HostPort discoveryAddress() {
    return discoveryAddress;
  }

  /** Returns the number of open connections to all servers together. */
  public int countOpenConnections() {
    return openConnections.get();
  }

  /** Returns how many parts were answered so far. */
  public long countAnsweredParts() {
    return answeredParts.get();
  }

  /** Returns the full endpoint list as discovery sends it. */
  public ObjectNode endpointList() {
    ObjectNode list = JSON.createObjectNode().put("revision", 1).put("complete", true);
    ArrayNode entries = list.putArray("members");
    for (int server = 0; server < addresses.size(); server++) {
      entries
          .addObject()
          .put("id", "s" + server)
          .put("host_port", addresses.get(server).toString())
          .put("locality", ZONE)
          .put("cell", server)
          .put("phase", "up")
          .put("size", 1.0)
          .put("up_since_ms", 0);
    }
    return list;
  }

  /** Returns the zone of all servers. */
  public String zone() {
    return ZONE;
  }

  /** A connection for frames. Every part of a call is answered in a frame of its own. */
  private final class Session implements Connection.Owner {
    private final Connection connection;
    private final FrameCodec codec = new FrameCodec();

    Session(Connection connection) {
      this.connection = connection;
      openConnections.incrementAndGet();
    }

    @Override
    public void received(ByteBuffer bytes) {
      codec.read(
          bytes,
          frame -> {
            if (frame.typeCode() == '1') {
              answer(new String(frame.payload(), StandardCharsets.ISO_8859_1));
            }
          });
    }

    private void answer(String call) {
      int partStart = 0;
      while (partStart < call.length()) {
        int lineEnd = call.indexOf('\n', partStart);
        String[] words = call.substring(partStart, lineEnd).split(" ", 0);
        partStart = lineEnd + 1 + Integer.parseInt(words[words.length - 1]);
        answeredParts.incrementAndGet();
        byte[] payload =
            (words[0] + " S 1 -\n5be2a07c19f04d63").getBytes(StandardCharsets.ISO_8859_1);
        connection.write(FrameCodec.encode('5', payload), () -> {});
      }
    }

    @Override
    public void closed() {
      openConnections.decrementAndGet();
    }
  }
}
