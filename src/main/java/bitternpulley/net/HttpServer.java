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
  private static final long MOST_HELD = 4 << 20;

  /** Ms between looks at what all connections do. */
  private static final double SWEEP = 100;

  /** Ms for which a connection that says nothing, or not all, is spared when room is needed. */
  private static final double SPARED = 150;

  /**
   * Answered connections left unused for so many ms beyond which each answer ends its own: a
   * seventh of all, but not so few. Where clients come back to theirs, as in a rush, they stay.
   * Guards against clients that ask once and keep their connection, by which the others come to
   * have none left.
   */
  private static final double CROWD = 0.15;

  private static final int CROWD_LEAST = 16;
  private static final double UNUSED = 300;

  /**
   * Share of the places that is left for connections whose end is under way. Guards against a place
   * that is made by a reset, with which a request on its way is answered when its connection has to
   * go.
   */
  private static final double ENDING_SHARE = 0.125;

  /** Ms until accepting is tried again after it failed, as it does when descriptors run out. */
  private static final double ACCEPT_PAUSE = 50;

  /**
   * While quiesced, ms after which an idle connection is closed, time enough for a request that is
   * on its way; and ms after the call to that by which those begun before must be whole: none that
   * is younger than 2 s may be held at 4 s.
   */
  private static final double QUIET_AFTER = 1000;

  private static final double LAST_WHOLE = 1800;

  /**
   * Once no more are to be taken: ms without a connection after which none waits to be accepted,
   * and ms for which that is awaited at most. Guards against clients whose connections the machine
   * has accepted and the program has not.
   */
  private static final double NONE_WAITS = 30;

  private static final double LAST_ACCEPT = 150;

  /**
   * Ms after that in which a request must be whole: what the platform ends the program for may not
   * come later.
   */
  private static final double LAST_BYTES = 200;

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
  private final int mostBody;
  private final int mostConnections;
  private final int roomFrom;
  private final Timeouts timeouts;
  private final Set<HttpSession> sessions = new LinkedHashSet<>();
  private Listener listener;
  private int unused;
  private boolean accepting;
  private boolean holdsBack;
  private boolean draining;
  private boolean quiesced;
  private double quiescedAt;
  private double stoppedAt = Double.POSITIVE_INFINITY;
  private double lastAccepted;
  private long held;

  /** A server that holds so many connections, which have so much time. */
  public HttpServer(
      EventLoop loop, int mostBody, int mostConnections, Timeouts timeouts, Handler handler) {
    this.loop = loop;
    this.mostBody = mostBody;
    this.mostConnections = mostConnections;
    this.roomFrom = mostConnections - (int) (ENDING_SHARE * mostConnections);
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
    loop.after(SWEEP, this::sweep);
  }

  /** From now on, connections wait with the machine until they are let in. */
  public void holdBack() {
    holdsBack = true;
  }

  /** Takes the connections that were held back, and all that come. */
  public void letIn() {
    holdsBack = false;
    if (listener != null) {
      accept();
    }
  }

  private void accept() {
    if (accepting || holdsBack || !listener.isOpen() || !room()) {
      return;
    }
    accepting = true;
    listener.accept(
        connection -> {
          accepting = false;
          lastAccepted = loop.now();
          HttpSession session = new HttpSession(this, connection, mostBody);
          sessions.add(session);
          connection.start(session);
          accept();
        },
        e -> {
          accepting = false;
          if (listener.isOpen()) {
            LOG.log(Level.WARNING, "accept failed: " + e);
            loop.after(ACCEPT_PAUSE, this::accept);
          }
        });
  }

  /** Ends what takes too long; one look for all, in place of an alarm for each. */
  private void sweep() {
    unused = 0;
    for (HttpSession s : Set.copyOf(sessions)) {
      unused += s.unusedFor(UNUSED) ? 1 : 0;
      s.check();
    }
    accept();
    if (listener.isOpen() || !sessions.isEmpty()) {
      loop.after(SWEEP, this::sweep);
    }
  }

  /**
   * Guards against running out of descriptors, and against silent clients that keep out the rest:
   * when hardly more may be open, one that never said anything makes room, else the one longest
   * idle, else one that does not end its request.
   */
  private boolean room() {
    if (sessions.size() < roomFrom) {
      return true;
    }
    HttpSession least = null;
    for (HttpSession s : sessions) {
      if (s.claim() < HttpSession.BUSY
          && (least == null
              || s.claim() < least.claim()
              || s.claim() == least.claim() && s.since() < least.since())) {
        least = s;
      }
    }
    if (least != null) {
      least.makeRoom();
    }
    return sessions.size() < mostConnections;
  }

  private boolean crowded() {
    return unused > Math.max(CROWD_LEAST, CROWD * mostConnections);
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
    Set.copyOf(sessions).forEach(HttpSession::check);
  }

  private void stopWhenNoneWaits() {
    double now = loop.now();
    if (now - Math.max(lastAccepted, stoppedAt) < NONE_WAITS && now - stoppedAt < LAST_ACCEPT) {
      loop.after(NONE_WAITS, this::stopWhenNoneWaits);
    } else {
      stopAccepting();
    }
  }

  /**
   * Once no more are taken: connections on which something is still owed, be it only the client's
   * end of them.
   */
  public int busy() {
    return (int) sessions.stream().filter(HttpSession::owes).count()
        + (listener != null && listener.isOpen() ? 1 : 0);
  }

  /** Connections on which an answer is still owed, or has not all gone to the machine. */
  public int unanswered() {
    return (int) sessions.stream().filter(HttpSession::owesAnswer).count();
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
    return !draining && !quiesced && !crowded();
  }

  /**
   * Whether an idle connection that was used, or begun, so long ago is to end as clients are sent
   * away.
   */
  boolean endsIdle(double age, boolean used) {
    boolean quiet = quiesced && loop.now() - quiescedAt > QUIET_AFTER && age > QUIET_AFTER;
    // A client that has only just connected is about to ask.
    return quiet || loop.now() >= stoppedAt && (used || age > SPARED);
  }

  /** Whether a request that was begun then is too late to be taken, as clients are sent away. */
  boolean tooLate(double begun) {
    boolean quiet =
        quiesced && loop.now() - quiescedAt > LAST_WHOLE && begun < quiescedAt + LAST_WHOLE;
    return quiet || loop.now() - stoppedAt > LAST_BYTES;
  }

  boolean spares(double age) {
    return age < SPARED;
  }

  /**
   * Notes what a connection keeps of what is not yet dealt with; false where all together keep too
   * much.
   */
  boolean holds(long before, long after) {
    held += after - before;
    return held <= MOST_HELD || after == 0;
  }

  /**
   * Least recently used first: an idle connection that must make room is the one longest unused.
   */
  void used(HttpSession session) {
    sessions.remove(session);
    sessions.add(session);
  }

  void ended(HttpSession session) {
    sessions.remove(session);
    accept();
  }

  /** A place may be free, or an idle connection may make one. */
  void lookForRoom() {
    accept();
  }

  static ByteBuffer ascii(String text) {
    return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  static String reason(int status) {
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
