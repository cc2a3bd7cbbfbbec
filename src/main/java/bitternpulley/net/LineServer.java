package bitternpulley.net;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;

/** Listens for connections of one line each, which get one line back. */
public final class LineServer {
  private static final System.Logger LOG = System.getLogger(LineServer.class.getName());
  private static final int BACKLOG = 64;
  private static final int MAX_LINE_LENGTH = 512;

  /** Callers at once; beyond, the one that has been silent for longest makes room. */
  private static final int MAX_SESSIONS = 16;

  /** Ms that a caller has to write its line and to take its answer. */
  private static final double SESSION_TIMEOUT_MS = 10_000;

  private static final double ACCEPT_RETRY_MS = 50;

  /** Takes a whole line; the answer may come at any time, once. */
  public interface Handler {
    void line(String line, Consumer<String> answer);

    /** The answer to a line that is too long. */
    String tooLong();
  }

  private final EventLoop loop;
  private final Handler handler;
  private final Set<Session> sessions = new LinkedHashSet<>();
  private Listener listener;

  public LineServer(EventLoop loop, Handler handler) {
    this.loop = loop;
    this.handler = handler;
  }

  /** Begins to listen. */
  public void listen(HostPort at) throws IOException {
    listener = new AddressListener(loop, at, BACKLOG, false);
    accept();
  }

  private void accept() {
    listener.accept(
        connection -> {
          evictIfFull();
          Session caller = new Session(connection);
          sessions.add(caller);
          connection.start(caller);
          accept();
        },
        error -> {
          LOG.log(Level.WARNING, "accept failed: " + error);
          loop.after(ACCEPT_RETRY_MS, this::accept);
        });
  }

  /** Guards against silent callers that keep out the rest. */
  private void evictIfFull() {
    if (sessions.size() >= MAX_SESSIONS) {
      sessions.stream()
          .filter(c -> !c.lineReceived)
          .findFirst()
          .or(() -> sessions.stream().findFirst())
          .ifPresent(c -> c.connection.close());
    }
  }

  private final class Session implements Connection.Owner {
    private final Connection connection;
    private final StringBuilder line = new StringBuilder();
    private boolean lineReceived;

    Session(Connection connection) {
      this.connection = connection;
      loop.after(SESSION_TIMEOUT_MS, connection::close);
    }

    @Override
    public void received(ByteBuffer bytes) {
      while (!lineReceived && bytes.hasRemaining()) {
        char c = (char) (bytes.get() & 0xff);
        if (c == '\n') {
          handleLine(() -> handler.line(line.toString().strip(), this::respond));
        } else if (line.append(c).length() > MAX_LINE_LENGTH) {
          handleLine(() -> respond(handler.tooLong()));
        }
      }
    }

    private void handleLine(Runnable question) {
      lineReceived = true;
      // Guards against a caller that ends its side behind its line, which is no reason to leave it
      // without an answer.
      connection.pause();
      question.run();
    }

    private void respond(String text) {
      connection.write(ByteBuffer.wrap((text + "\n").getBytes(StandardCharsets.UTF_8)), () -> {});
      connection.closeGracefully();
    }

    @Override
    public void closed() {
      sessions.remove(this);
    }
  }
}
