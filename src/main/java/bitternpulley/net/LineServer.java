package bitternpulley.net;

import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;

/** Accepts connections that send one line each and receive one line in response. */
public final class LineServer {
  private static final int BACKLOG = 64;

  /** Connections at once; a further one evicts the one that has been silent for longest. */
  private static final int MAX_SESSIONS = 16;

  /** Handles lines; every call comes in a turn of the event loop. */
  public interface Handler {
    /** Handles a complete line; the response may be given at any time, once. */
    void line(String line, Consumer<String> answer);

    /** Returns the response to a line that is too long. */
    String lineTooLong();
  }

  private final EventLoop loop;
  private final Handler handler;
  private final Set<LineSession> sessions = new LinkedHashSet<>();

  /** Creates a server that hands each line to {@code handler}. */
  public LineServer(EventLoop loop, Handler handler) {
    this.loop = loop;
    this.handler = handler;
  }

  /** Starts to listen. */
  public void listen(HostPort address) throws IOException {
    AddressListener listener = AddressListener.bind(loop, address, BACKLOG);
    new AcceptLoop(loop, listener, AcceptLoop.FailureAction.RETRY, () -> true, this::startSession)
        .acceptNext();
  }

  private void startSession(Connection connection) {
    evictIfFull();
    LineSession session = new LineSession(loop, connection, handler, sessions::remove);
    sessions.add(session);
    connection.start(session);
  }

  /** Silent connections must not keep out the rest. */
  private void evictIfFull() {
    if (sessions.size() >= MAX_SESSIONS) {
      sessions.stream()
          .filter(session -> !session.hasReceivedLine())
          .findFirst()
          .or(() -> sessions.stream().findFirst())
          .ifPresent(LineSession::close);
    }
  }
}
