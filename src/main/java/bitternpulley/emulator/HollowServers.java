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
 * Very many slot servers that do no work: each takes frames on a loopback host of its own and
 * answers every part at once. For measurements of what an aggregator's side costs; discovery names
 * them once and then only keeps its watches alive. Connections are spread over a few event loops.
 */
public final class HollowServers {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** Hosts in one block of 127.4.x, of which the last byte runs from 1. */
  private static final int BLOCK = 250;

  private static final String ZONE = "a";

  private final List<EventLoop> loops;
  private final List<HostPort> at;
  private final AtomicInteger open = new AtomicInteger();
  private final AtomicLong parts = new AtomicLong();
  private final HostPort discovery;

  /** Starts so many servers, one for each section, with discovery beside them. */
  public HollowServers(int count, int loopCount) throws IOException {
    loops = IntStream.range(0, loopCount).mapToObj(i -> new EventLoop()).toList();
    List<HostPort> listening = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String host = "127.4." + i / BLOCK + "." + (1 + i % BLOCK);
      listening.add(
          new StreamServer(Session::new).listen(loops.get(i % loopCount), new HostPort(host, 0)));
    }
    at = List.copyOf(listening);
    String whole = list().toString();
    discovery = new DiscoveryService(loops.get(0), () -> whole).listen("127.0.0.1");
  }

  /** Where discovery is watched. */
  public HostPort discovery() {
    return discovery;
  }

  /** Connections open at all servers together. */
  public int open() {
    return open.get();
  }

  /** Parts answered so far. */
  public long parts() {
    return parts.get();
  }

  /** The whole list, as discovery tells it. */
  public ObjectNode list() {
    ObjectNode list = JSON.createObjectNode().put("revision", 1).put("complete", true);
    ArrayNode members = list.putArray("members");
    for (int i = 0; i < at.size(); i++) {
      members
          .addObject()
          .put("id", "s" + i)
          .put("host_port", at.get(i).toString())
          .put("locality", ZONE)
          .put("cell", i)
          .put("phase", "up")
          .put("size", 1.0)
          .put("up_since_ms", 0);
    }
    return list;
  }

  /** The zone that all of them stand in. */
  public String zone() {
    return ZONE;
  }

  /** One connection of frames: every part of a call is answered by itself. */
  private final class Session implements Connection.Owner {
    private final Connection connection;
    private final FrameCodec codec = new FrameCodec();

    Session(Connection connection) {
      this.connection = connection;
      open.incrementAndGet();
    }

    @Override
    public void received(ByteBuffer bytes) {
      codec.read(
          bytes,
          frame -> {
            if (frame.letter() == '1') {
              answer(new String(frame.rest(), StandardCharsets.ISO_8859_1));
            }
          });
    }

    private void answer(String call) {
      int from = 0;
      while (from < call.length()) {
        int line = call.indexOf('\n', from);
        String[] words = call.substring(from, line).split(" ");
        from = line + 1 + Integer.parseInt(words[words.length - 1]);
        parts.incrementAndGet();
        byte[] text = (words[0] + " S 1 -\n5be2a07c19f04d63").getBytes(StandardCharsets.ISO_8859_1);
        connection.write(FrameCodec.encode('5', text), () -> {});
      }
    }

    @Override
    public void closed() {
      open.decrementAndGet();
    }
  }
}
