import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * A client sends six queries at once on one connection; each takes 300 ms. SIGTERM comes 450 ms
 * later. Checked is that each of the six is answered before the aggregator ends the connection.
 */
final class PipelinedAtShutdown {
  private static final int QUERIES = 6;

  private PipelinedAtShutdown() {}

  public static void main(String[] arguments) {
    Rig.main(arguments, PipelinedAtShutdown::run);
  }

  private static int run(Rig rig, boolean trouble) throws Exception {
    rig.startFrameServers(300);
    Process aggregator = rig.startAggregator();
    rig.awaitReady(aggregator);
    try (Socket socket = Rig.connect(rig.listen, 6500)) {
      StringBuilder queries = new StringBuilder();
      for (int number = 0; number < QUERIES; number++) {
        String body = Rig.query(number, number + 1);
        queries
            .append("POST /slot-search HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: p")
            .append(number)
            .append("\r\nRequest-Timeout: 6.000\r\nContent-Length: ")
            .append(body.length())
            .append("\r\n\r\n")
            .append(body);
      }
      socket.getOutputStream().write(queries.toString().getBytes(StandardCharsets.US_ASCII));
      rig.note(QUERIES + " queries sent on one connection");
      TimeUnit.MILLISECONDS.sleep(450);
      if (trouble) {
        rig.signal("TERM", aggregator);
      }
      int answered = 0;
      try {
        for (Rig.Message answer = Rig.Message.read(socket.getInputStream());
            answer != null && answered < QUERIES;
            answer = answered < QUERIES ? Rig.Message.read(socket.getInputStream()) : null) {
          answered++;
          rig.note("answer " + answered + ": " + answer.status());
        }
      } catch (IOException ended) {
        rig.note("the connection: " + ended.getMessage());
      }
      rig.note(answered + " of " + QUERIES + " queries answered");
      return answered < QUERIES ? Rig.BROKEN : Rig.HELD;
    }
  }
}
