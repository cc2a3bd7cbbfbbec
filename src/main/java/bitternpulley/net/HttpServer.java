package bitternpulley.net;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Listens for HTTP/1.1 and hands whole requests to a handler, one at a time from each connection.
 */
public final class HttpServer {
  private static final System.Logger LOG = System.getLogger(HttpServer.class.getName());
  private static final int BACKLOG = 512;

  /** Bytes kept of bodies that are not yet whole, from all connections together. */
  private static final long MAX_BUFFERED_BYTES = 4 << 20;

  /** Ms between looks at what all connections do. */
  private static final double SWEEP_INTERVAL_MS = 100;

  /** Ms for which a connection that says nothing, or not all, is spared when room is needed. */
  private static final double EVICTION_GRACE_MS = 150;

  /**
   * Answered connections left unused for so many ms beyond which each answer ends its own: a
   * seventh of all, but not so few. Where clients come back to theirs, as in a rush, they stay.
   * Guards against clients that ask once and keep their connection, by which the others come to
   * have none left.
   */
  private static final double CROWDED_SHARE = 0.15;

  private static final int MIN_CROWDED = 16;
  private static final double UNUSED_AFTER_MS = 300;

  /**
   * Share of the places that is left for connections whose end is under way. Guards against a place
   * that is made by a reset, with which a request on its way is answered when its connection has to
   * go.
   */
  private static final double CLOSING_SHARE = 0.125;

  /** Ms until accepting is tried again after it failed, as it does when descriptors run out. */
  private static final double ACCEPT_RETRY_MS = 50;

  /**
   * While quiesced, ms after which an idle connection is closed, time enough for a request that is
   * on its way; and ms after the call to that by which those begun before must be whole: none that
   * is younger than 2 s may be held at 4 s.
   */
  private static final double QUIESCED_IDLE_MS = 1000;

  private static final double QUIESCED_REQUEST_MS = 1800;

  /**
   * Once no more are to be taken: ms without a connection after which none waits to be accepted,
   * and ms for which that is awaited at most. Guards against clients whose connections the machine
   * has accepted and the program has not.
   */
  private static final double BACKLOG_EMPTY_MS = 30;

  private static final double MAX_BACKLOG_WAIT_MS = 150;

  /**
   * Ms after that in which a request must be whole: what the platform ends the program for may not
   * come later.
   */
  private static final double LAST_REQUEST_MS = 200;

  /**
   * Ms that a client has to begin its first request, to send a whole one, and to begin the next.
   */
  public record Timeouts(double firstByte, double request, double keepAlive) {
    /** Both ends of a bad connection come within 3 s; a good one is opened again at little cost. */
    public static final Timeouts USUAL = new Timeouts(2000, 2200, 5000);
  }

  /**
   * A whole request.
   *
   * @param unread ms for which its last bytes may have lain unread, as the loop was late
   * @param worstTurn ms by which the loop's turns came late in the last seconds, which the answer
   *     may meet too
   */
  public record Request(HttpHead head, byte[] body, double unread, double worstTurn) {
    /** One of a loop that was never late. */
    public Request(HttpHead head, byte[] body) {
      this(head, body, 0, 0);
    }
  }

  /** Answers requests; every call comes on the loop's thread. */
  public interface Handler {
    void handle(Request request, Exchange exchange);

    /** What an unusable message is told, in the handler's own dialect. */
    Response unusable(int status, String reason);
  }

  /** An answer; header names as they are to be written. */
  public record Response(int status, Map<String, String> headers, byte[] body) {}

  /** One request's way back to its client. */
  public interface Exchange {
    /** Answers; a second answer is ignored. */
    void reply(Response response);

    /** What is to run should the client leave before it is answered. */
    void onGone(Runnable gone);
  }

  private final EventLoop loop;
  private final Handler handler;
  private final int maxBodyBytes;
  private final int maxConnections;
  private final int evictionThreshold;
  private final Timeouts timeouts;
  private final Set<HttpSession> sessions = new LinkedHashSet<>();
  private Listener listener;
  private int unused;
  private boolean accepting;
  private boolean holdingBack;
  private boolean draining;
  private boolean quiesced;
  private double quiescedAt;
  private double stoppedAt = Double.POSITIVE_INFINITY;
  private double lastAccepted;
  private long bufferedBytes;

  /** A server that holds so many connections, which have so much time. */
  public HttpServer(
      EventLoop loop, int mostBody, int mostConnections, Timeouts timeouts, Handler handler) {
    this.loop = loop;
    this.maxBodyBytes = mostBody;
    this.maxConnections = mostConnections;
    this.evictionThreshold = mostConnections - (int) (CLOSING_SHARE * mostConnections);
    this.timeouts = timeouts;
    this.handler = handler;
  }

  /** Begins to listen; the address that was bound is returned. */
  public HostPort listen(HostPort at) throws IOException {
    return listen(at, false);
  }

  /**
   * As above; where {@code shared}, another process that says so too may listen there at the same
   * time.
   */
  public HostPort listen(HostPort at, boolean shared) throws IOException {
    AddressListener bound = new AddressListener(loop, at, BACKLOG, shared);
    listen(bound);
    return new HostPort(at.host(), bound.port());
  }

  /** Begins to take connections from a socket that was passed. */
  public void listen(PassedListener passed) {
    listen((Listener) passed);
  }

  private void listen(Listener from) {
    listener = from;
    accept();
    loop.after(SWEEP_INTERVAL_MS, this::sweep);
  }

  /** From now on, connections wait with the machine until they are let in. */
  public void holdBack() {
    holdingBack = true;
  }

  /** Takes the connections that were held back, and all that come. */
  public void letIn() {
    holdingBack = false;
    if (listener != null) {
      accept();
    }
  }

  private void accept() {
    if (accepting || holdingBack || !listener.isOpen() || !makeCapacity()) {
      return;
    }
    accepting = true;
    listener.accept(
        connection -> {
          accepting = false;
          lastAccepted = loop.now();
          HttpSession session = new HttpSession(this, connection, maxBodyBytes);
          sessions.add(session);
          connection.start(session);
          accept();
        },
        error -> {
          accepting = false;
          if (listener.isOpen()) {
            LOG.log(Level.WARNING, "accept failed: " + error);
            loop.after(ACCEPT_RETRY_MS, this::accept);
          }
        });
  }

  /** Ends what takes too long; one look for all, in place of an alarm for each. */
  private void sweep() {
    unused = 0;
    for (HttpSession session : Set.copyOf(sessions)) {
      unused += session.isUnusedFor(UNUSED_AFTER_MS) ? 1 : 0;
      session.enforceTimeouts();
    }
    accept();
    if (listener.isOpen() || !sessions.isEmpty()) {
      loop.after(SWEEP_INTERVAL_MS, this::sweep);
    }
  }

  /**
   * Guards against running out of descriptors, and against silent clients that keep out the rest:
   * when hardly more may be open, one that never said anything makes room, else the one longest
   * idle, else one that does not end its request.
   */
  private boolean makeCapacity() {
    if (sessions.size() < evictionThreshold) {
      return true;
    }
    HttpSession least = null;
    for (HttpSession session : sessions) {
      if (session.claim() < HttpSession.BUSY
          && (least == null
              || session.claim() < least.claim()
              || session.claim() == least.claim() && session.since() < least.since())) {
        least = session;
      }
    }
    if (least != null) {
      least.evict();
    }
    return sessions.size() < maxConnections;
  }

  private boolean isCrowded() {
    return unused > Math.max(MIN_CROWDED, CROWDED_SHARE * maxConnections);
  }

  /** From now on each answer ends its connection. */
  public void drain() {
    draining = true;
  }

  /**
   * Sends clients away, or keeps their connections again; connections are taken and served all the
   * while.
   */
  public void quiesce(boolean on) {
    quiesced = on;
    quiescedAt = loop.now();
  }

  /** Takes no more connections. */
  public void stopAccepting() {
    if (listener != null) {
      listener.close();
    }
  }

  /**
   * Takes those connections that already wait, then no more, and ends those that are idle; the
   * others end with their answers.
   */
  public void stopListening() {
    stoppedAt = loop.now();
    stopWhenNoneWaits();
    Set.copyOf(sessions).forEach(HttpSession::enforceTimeouts);
  }

  private void stopWhenNoneWaits() {
    double now = loop.now();
    if (now - Math.max(lastAccepted, stoppedAt) < BACKLOG_EMPTY_MS
        && now - stoppedAt < MAX_BACKLOG_WAIT_MS) {
      loop.after(BACKLOG_EMPTY_MS, this::stopWhenNoneWaits);
    } else {
      stopAccepting();
    }
  }

  /**
   * Once no more are taken: connections on which something is still owed, be it only the client's
   * end of them.
   */
  public int busy() {
    return (int) sessions.stream().filter(HttpSession::hasPendingWork).count()
        + (listener != null && listener.isOpen() ? 1 : 0);
  }

  /** Connections on which an answer is still owed, or has not all gone to the machine. */
  public int unanswered() {
    return (int) sessions.stream().filter(HttpSession::hasPendingResponse).count();
  }

  // --- For the sessions of this server, on the loop's thread -------------------------------------

  EventLoop loop() {
    return loop;
  }

  Handler handler() {
    return handler;
  }

  Timeouts timeouts() {
    return timeouts;
  }

  /** Whether a connection lasts beyond the answer that is being written. */
  boolean keepsConnections() {
    return !draining && !quiesced && !isCrowded();
  }

  /**
   * Whether an idle connection that was used, or begun, so long ago is to end as clients are sent
   * away.
   */
  boolean endsIdle(double age, boolean used) {
    boolean quiet =
        quiesced && loop.now() - quiescedAt > QUIESCED_IDLE_MS && age > QUIESCED_IDLE_MS;
    // A client that has only just connected is about to ask.
    return quiet || loop.now() >= stoppedAt && (used || age > EVICTION_GRACE_MS);
  }

  /** Whether a request that was begun then is too late to be taken, as clients are sent away. */
  boolean isTooLate(double begun) {
    boolean quiet =
        quiesced
            && loop.now() - quiescedAt > QUIESCED_REQUEST_MS
            && begun < quiescedAt + QUIESCED_REQUEST_MS;
    return quiet || loop.now() - stoppedAt > LAST_REQUEST_MS;
  }

  boolean isWithinGrace(double age) {
    return age < EVICTION_GRACE_MS;
  }

  /**
   * Notes what a connection keeps of what is not yet dealt with; false where all together keep too
   * much.
   */
  boolean recordBuffered(long before, long after) {
    bufferedBytes += after - before;
    return bufferedBytes <= MAX_BUFFERED_BYTES || after == 0;
  }

  /**
   * Least recently used first: an idle connection that must make room is the one longest unused.
   */
  void markUsed(HttpSession session) {
    sessions.remove(session);
    sessions.add(session);
  }

  void remove(HttpSession session) {
    sessions.remove(session);
    accept();
  }

  /** A place may be free, or an idle connection may make one. */
  void acceptIfCapacity() {
    accept();
  }

  static ByteBuffer ascii(String text) {
    return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  static String reasonPhrase(int status) {
    return switch (status) {
      case 200 -> "OK";
      case 400 -> "Bad Request";
      case 404 -> "Not Found";
      case 405 -> "Method Not Allowed";
      case 408 -> "Request Timeout";
      case 409 -> "Conflict";
      case 413 -> "Content Too Large";
      case 429 -> "Too Many Requests";
      case 431 -> "Request Header Fields Too Large";
      case 500 -> "Internal Server Error";
      case 503 -> "Service Unavailable";
      case 504 -> "Gateway Timeout";
      default -> "Status";
    };
  }
}
