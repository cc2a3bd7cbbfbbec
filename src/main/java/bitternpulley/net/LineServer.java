package bitternpulley.net;

import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;

/** Serves connections on which the client sends one line and receives one line in response. */
public final class LineServer {
  private static final int BACKLOG = 64;

  /**
   * Maximum number of connections. A further one evicts the oldest connection whose line has not
   * arrived or, if there is none, the oldest connection.
   */
  private static final int MAX_SESSIONS = 16;

  /** Handles lines; all calls are made in turns of the event loop. */
  public interface Handler {
    /** Handles a complete line; the response may be given at any time, once. */
    void handleLine(String line, Consumer<String> response);

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

  /** Evicts a connection at the limit, so that silent connections do not keep out others. */
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
