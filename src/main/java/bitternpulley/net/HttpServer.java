package bitternpulley.net;

import java.io.IOException;
import java.util.Map;

/**
 * Listens for HTTP/1.1 connections and passes complete requests to a handler, one at a time from
 * each connection. {@link HttpSession} is one connection, {@link HttpSessionRegistry} enforces the
 * limits on all of them together, and {@link DrainState} has the rules for draining.
 */
public final class HttpServer {
  /**
   * Connections that may wait to be accepted; the kernel has a limit of its own. Beyond it, clients
   * believe to be connected but are not, and what they send is lost for seconds.
   */
  private static final int BACKLOG = 4096;

  /** Interval at which all connections are checked for time-outs. */
  private static final double SWEEP_INTERVAL_MS = 100;

  /**
   * When the server stops listening, the kernel may already hold connections that were not accepted
   * yet. The backlog counts as empty after this time without a new connection; the server waits for
   * this at most {@link #MAX_BACKLOG_WAIT_MS}.
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
    /** Closes a faulty connection within 3 s; reopening a good one costs little. */
    public static final Timeouts DEFAULT = new Timeouts(2000, 2200, 5000);
  }

  /**
   * A complete request.
   *
   * @param head its start line and headers
   * @param body its body, empty when there is none
   * @param unreadMs time in ms that its last bytes may have waited to be read because the event
   *     loop was late
   * @param worstLagMs worst lag in ms of the event loop in the last seconds, which may delay the
   *     response as well
   */
  @SuppressWarnings("ArrayRecordComponent") // Requests are never compared, and a copy would cost.
  public record Request(HttpHead head, byte[] body, double unreadMs, double worstLagMs) {
    /** Creates a request of an event loop that was never late. */
    public Request(HttpHead head, byte[] body) {
      this(head, body, 0, 0);
    }
  }

  /** Handles requests; all calls are made in turns of the event loop. */
  public interface Handler {
    /** Handles a request; the response may be given at any time. */
    void handle(Request request, Exchange exchange);

    /** Returns the response to a request that cannot be handled, in this handler's format. */
    Response errorResponse(int status, String reason);
  }

  /**
   * A response.
   *
   * @param status the status code
   * @param headers values by header name, written unchanged
   * @param body the body
   */
  @SuppressWarnings("ArrayRecordComponent") // Responses are never compared, and a copy would cost.
  public record Response(int status, Map<String, String> headers, byte[] body) {}

  /** A request that awaits its response. */
  public interface Exchange {
    /** Sends the response; a second one is ignored. */
    void reply(Response response);

    /** Sets the callback that runs when the client disconnects before the response. */
    void onDisconnect(Runnable callback);
  }

  private final EventLoop loop;
  private final Handler handler;
  private final int maxBodyBytes;
  private final Timeouts timeouts;
  private final ClientMemory memory;
  private final HttpSessionRegistry sessions;
  private final DrainState drainState;
  private AcceptLoop acceptLoop;
  private boolean holdingBack;

  /** Creates a server that has memory budgets of its own. */
  public HttpServer(
      EventLoop loop, int maxBodyBytes, int maxConnections, Timeouts timeouts, Handler handler) {
    this(loop, maxBodyBytes, maxConnections, timeouts, ClientMemory.create(loop), handler);
  }

  /**
   * Creates a server.
   *
   * @param loop runs all calls and callbacks
   * @param maxBodyBytes maximum size of a body
   * @param maxConnections maximum number of connections
   * @param timeouts the time limits of a connection
   * @param memory bounds the memory of the clients of all servers that share it
   * @param handler handles the requests
   */
  public HttpServer(
      EventLoop loop,
      int maxBodyBytes,
      int maxConnections,
      Timeouts timeouts,
      ClientMemory memory,
      Handler handler) {
    this.loop = loop;
    this.maxBodyBytes = maxBodyBytes;
    this.timeouts = timeouts;
    this.memory = memory;
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
   * share the address can listen on it at the same time.
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
    loop.repeat(SWEEP_INTERVAL_MS, this::sweep);
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

  /** Accepts the connections that were held back, and all later ones. */
  public void acceptConnections() {
    holdingBack = false;
    if (acceptLoop != null) {
      acceptLoop.acceptNext();
    }
  }

  /**
   * Applies the time-outs of all connections, with one timer instead of one per connection; returns
   * whether there can be any later.
   */
  private boolean sweep() {
    sessions.sweep();
    acceptLoop.acceptNext();
    return acceptLoop.isOpen() || !sessions.isEmpty();
  }

  /** From now on, closes each connection after its next response. */
  public void drain() {
    drainState.drain();
  }

  /**
   * Enters or leaves the quiesced state, in which idle connections are closed, and others after
   * their responses, while new connections are still accepted and served.
   *
   * @param enabled whether the server is quiesced
   */
  public void setQuiesced(boolean enabled) {
    drainState.setQuiesced(enabled);
  }

  /** Accepts no more connections. */
  public void stopAccepting() {
    if (acceptLoop != null) {
      acceptLoop.close();
    }
  }

  /**
   * Accepts the connections that already wait in the kernel, then no more. Idle connections are
   * closed at once, the others after their responses.
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
   * Returns the number of connections with pending work, which includes waiting for the client to
   * close its side; one more while connections are still accepted.
   */
  public int countPendingWork() {
    return sessions.countPendingWork() + (acceptLoop != null && acceptLoop.isOpen() ? 1 : 0);
  }

  /** Returns the number of connections whose response is pending or not completely written. */
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

  ClientMemoryBudget memoryBudget() {
    return memory.incoming();
  }

  /** Returns the budget for requests in progress and responses. */
  ClientMemoryBudget exchangeBudget() {
    return memory.inProgress();
  }

  HttpSessionRegistry sessions() {
    return sessions;
  }

  DrainState drainState() {
    return drainState;
  }

  /** Returns whether a connection stays open after the response that is being written. */
  boolean keepsConnections() {
    return !drainState.closesAfterResponse() && !sessions.hasTooManyUnused();
  }

  /** Removes a connection that has ended and accepts another one if there is capacity. */
  void sessionEnded(HttpSession session) {
    sessions.remove(session);
    acceptLoop.acceptNext();
  }

  /** Accepts another connection if there is capacity or a connection can be evicted. */
  void acceptIfCapacity() {
    acceptLoop.acceptNext();
  }
}
