package bitternpulley.platform;

import static org.testng.Assert.assertEquals;

import bitternpulley.broker.AttemptId;
import bitternpulley.broker.Broker;
import bitternpulley.broker.Clock;
import bitternpulley.broker.Effect;
import bitternpulley.broker.Reducer;
import bitternpulley.broker.Request;
import bitternpulley.config.Configuration;
import bitternpulley.net.EventLoop;
import bitternpulley.net.HostPort;
import bitternpulley.policy.Router;
import bitternpulley.policy.Settings;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import org.testng.annotations.Test;

/** What the module seldom asks for: a part sent to a server that had it before. */
public class SlotServersTest {
  private static final int PATIENCE_MS = 30_000;

  private static Settings settings() {
    Settings.QueryClass kind =
        new Settings.QueryClass("any", 1, 1000, 0, 3000, 0, Settings.Effect.SAFE, 0, false, 1, 1, 1, 0);
    return new Settings(0, 1, 0, 5, false, false, List.of(kind), List.of(), 1, false, new Settings.Layout(1, 1, 1, 1),
        new Settings.Limits(4, 100, true, false, false, true, 500, 250),
        new Settings.Rules(20, 250, 1, 0, 0, 0, false, 0, 0, 0, 0), new Settings.Prices(0, 0, 0, 0, 0),
        new Settings.Load(-1, -1, -1, -1, -1, -1));
  }

  private static String frame(Socket from) throws IOException {
    from.setSoTimeout(PATIENCE_MS);
    DataInputStream in = new DataInputStream(from.getInputStream());
    return new String(in.readNBytes(Integer.reverseBytes(in.readInt())));
  }

  @Test
  public void aPartGivenUpOnAConnectionIsSentAnewOverAnother() throws IOException {
    EventLoop loop = new EventLoop();
    Broker broker = new Broker(new Reducer(settings(), 1, 0), Clock.system(), loop::after);
    SlotServers servers = new SlotServers(loop, broker, Clock.system(), new Configuration.Wire(100, 15_000), 5000, 10);
    List<Request.Slice> slices = List.of(new Request.Slice(0, 0.5, 0), new Request.Slice(1, 0.5, 0));
    Request request = new Request(1, servers, 0, 3000, false, Router.Terms.OF_CLASS, slices,
        new PlatformQuery("q", 0, 3000, false, null, "f", slices, null));
    try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"))) {
      server.setSoTimeout(PATIENCE_MS);
      loop.execute(() -> {
        servers.address("s", new HostPort("127.0.0.1", server.getLocalPort()));
        servers.start(new Effect.Start(new AttemptId(1, 0), request, 0, "s", 2000));
      });
      try (Socket first = server.accept()) {
        assertEquals(frame(first), "1q.0 0 d=2000 1\nf");
        loop.execute(() -> servers.abandon(new Effect.Abandon(new AttemptId(1, 0), request, "s")));
        assertEquals(frame(first), "2q.0");
        loop.execute(() -> servers.start(new Effect.Start(new AttemptId(1, 1), request, 0, "s", 2000)));
        try (Socket second = server.accept()) {
          assertEquals(frame(second), "1q.0 0 d=2000 1\nf");
          loop.execute(() -> servers.start(new Effect.Start(new AttemptId(2, 0), request, 1, "s", 2000)));
          assertEquals(frame(first), "1q.1 1 d=2000 1\nf", "other parts still share the first");
        }
      }
    }
  }
}
