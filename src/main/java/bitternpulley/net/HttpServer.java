package bitternpulley.net;

import java.io.IOException;
import java.util.Map;

/**
 * Listens for HTTP/1.1 and hands complete requests to a handler, one at a time from each
 * connection. It accepts, sweeps and stops; the limits on connections are in {@link
 * HttpSessionRegistry} and the rules for sending clients away in {@link DrainState}.
 */
public final class HttpServer {
  private static final int BACKLOG = 512;

  /** Interval at which all connections are checked for time-outs. */
  private static final double SWEEP_INTERVAL_MS = 100;

  /**
   * When the server stops listening, the kernel may already hold connections that were not accepted
   * yet. The backlog counts as empty after this time without a connection, and is awaited for
   * {@link #MAX_BACKLOG_WAIT_MS} at most.
   */
  private static final double BACKLOG_EMPTY_MS = 30;

  private static final double MAX_BACKLOG_WAIT_MS = 150;

  /**
   * Time limits of a connection, in ms.
   *
   * @param firstByte until the first request begins
   * @param request until a request that has begun is complete
   * @param keepAlive until the next request begins
   */
  public record Timeouts(double firstByte, double request, double keepAlive) {
    /** Closes a bad connection within 3 s; a good one that is closed costs little to reopen. */
    public static final Timeouts DEFAULT = new Timeouts(2000, 2200, 5000);
  }

  /**
   * A complete request.
   *
   * @param head its start line and headers
   * @param body its body, empty when there is none
   * @param unreadMs ms for which its last bytes may have lain unread because the event loop was
   *     late
   * @param worstLagMs worst lag in ms of the event loop in the last seconds, which the response may
   *     meet too
   */
  @SuppressWarnings("ArrayRecordComponent") // Requests are never compared, and a copy would cost.
  public record Request(HttpHead head, byte[] body, double unreadMs, double worstLagMs) {
    /** Creates a request of an event loop that was never late. */
    public Request(HttpHead head, byte[] body) {
      this(head, body, 0, 0);
    }
  }

  /** Handles requests; every call comes in a turn of the event loop. */
  public interface Handler {
    /** Handles a request; the response may be given at any time. */
    void handle(Request request, Exchange exchange);

    /** Returns the response to an unusable message, in the format of this handler. */
    Response errorResponse(int status, String reason);
  }

  /**
   * A response.
   *
   * @param status the status code
   * @param headers values by header name, written as they are
   * @param body the body
   */
  @SuppressWarnings("ArrayRecordComponent") // Responses are never compared, and a copy would cost.
  public record Response(int status, Map<String, String> headers, byte[] body) {}

  /** Connects a request with its client until the response. */
  public interface Exchange {
    /** Sends the response; a second one is ignored. */
    void reply(Response response);

    /** Sets what runs when the client disconnects before the response. */
    void onDisconnect(Runnable gone);
  }

  private final EventLoop loop;
  private final Handler handler;
  private final int maxBodyBytes;
  private final Timeouts timeouts;
  private final HttpSessionRegistry sessions;
  private final DrainState drainState;
  private AcceptLoop acceptLoop;
  private boolean holdingBack;

  /** Creates a server with limits on the size of a body and the number of connections. */
  public HttpServer(
      EventLoop loop, int maxBodyBytes, int maxConnections, Timeouts timeouts, Handler handler) {
    this.loop = loop;
    this.maxBodyBytes = maxBodyBytes;
    this.timeouts = timeouts;
    this.handler = handler;
    this.sessions = new HttpSessionRegistry(maxConnections);
    this.drainState = new DrainState(loop);
  }

  /** Starts to listen and returns the bound address; port 0 stands for any free port. */
  public HostPort listen(HostPort address) throws IOException {
    return listen(address, false);
  }

  /**
   * Starts to listen and returns the bound address. When {@code shared}, other processes that also
   * share it may listen there at the same time.
   */
  public HostPort listen(HostPort address, boolean shared) throws IOException {
    AddressListener listener =
        shared
            ? AddressListener.bindShared(loop, address, BACKLOG)
            : AddressListener.bind(loop, address, BACKLOG);
    listen(listener);
    return new HostPort(address.host(), listener.port());
  }

  /** Starts to accept connections from an inherited socket. */
  public void listen(InheritedListener inherited) {
    listen((Listener) inherited);
  }

  private void listen(Listener listener) {
    acceptLoop =
        new AcceptLoop(
            loop,
            listener,
            AcceptLoop.FailureAction.RETRY,
            () -> !holdingBack && sessions.makeCapacity(),
            this::startSession);
    acceptLoop.acceptNext();
    loop.schedule(SWEEP_INTERVAL_MS, this::sweep);
  }

  private void startSession(Connection connection) {
    HttpSession session = new HttpSession(this, connection, maxBodyBytes);
    sessions.add(session);
    connection.start(session);
  }

  /** Leaves new connections in the kernel's backlog until {@link #acceptConnections}. */
  public void holdBackConnections() {
    holdingBack = true;
  }

  /** Accepts the connections that were held back, and all that follow. */
  public void acceptConnections() {
    holdingBack = false;
    if (acceptLoop != null) {
      acceptLoop.acceptNext();
    }
  }

  /** Ends what takes too long; one timer for all connections in place of one for each. */
  private void sweep() {
    sessions.sweep();
    acceptLoop.acceptNext();
    if (acceptLoop.isOpen() || !sessions.isEmpty()) {
      loop.schedule(SWEEP_INTERVAL_MS, this::sweep);
    }
  }

  /** Ends each connection with its next response from now on. */
  public void drain() {
    drainState.drain();
  }

  /**
   * Sends clients away, or stops doing so; connections are accepted and served all the while.
   *
   * @param on whether clients are sent away
   */
  public void quiesce(boolean on) {
    drainState.quiesce(on);
  }

  /** Accepts no more connections. */
  public void stopAccepting() {
    if (acceptLoop != null) {
      acceptLoop.close();
    }
  }

  /**
   * Accepts the connections that already wait in the kernel, then no more, and closes those that
   * are idle; the others end with their responses.
   */
  public void stopListening() {
    drainState.stopListening();
    closeOnceBacklogIsEmpty();
    sessions.enforceTimeouts();
  }

  private void closeOnceBacklogIsEmpty() {
    double now = loop.now();
    double stoppedAt = drainState.stoppedAt();
    if (now - Math.max(lastAcceptedAt(), stoppedAt) < BACKLOG_EMPTY_MS
        && now - stoppedAt < MAX_BACKLOG_WAIT_MS) {
      loop.schedule(BACKLOG_EMPTY_MS, this::closeOnceBacklogIsEmpty);
    } else {
      stopAccepting();
    }
  }

  private double lastAcceptedAt() {
    return acceptLoop == null ? 0 : acceptLoop.lastAcceptedAt();
  }

  /**
   * Returns, once no more connections are accepted, the number of those that have work left, if
   * only the client's end of them.
   */
  public int countPendingWork() {
    return sessions.countPendingWork() + (acceptLoop != null && acceptLoop.isOpen() ? 1 : 0);
  }

  /** Returns the number of connections whose response is due or not completely written. */
  public int countPendingResponses() {
    return sessions.countPendingResponses();
  }

  // --- For the sessions of this server, in turns of the event loop -------------------------------

  EventLoop loop() {
    return loop;
  }

  Handler handler() {
    return handler;
  }

  Timeouts timeouts() {
    return timeouts;
  }

  HttpSessionRegistry sessions() {
    return sessions;
  }

  DrainState drainState() {
    return drainState;
  }

  /** Returns whether a connection stays open after the response that is being written. */
  boolean keepsConnections() {
    return !drainState.closesAfterResponse() && !sessions.isCrowded();
  }

  /** Removes a connection that has ended and accepts another one if there is capacity. */
  void sessionEnded(HttpSession session) {
    sessions.remove(session);
    acceptLoop.acceptNext();
  }

  /** Accepts another connection if there is capacity, which an idle connection may provide. */
  void acceptIfCapacity() {
    acceptLoop.acceptNext();
  }
}
