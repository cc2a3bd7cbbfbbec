package bitternpulley.net;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** Listens for HTTP/1.1 and hands whole requests to a handler, one at a time from each connection. */
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
   * Answered connections left unused for so many ms beyond which each answer ends its own: a seventh of all, but not so
   * few. Where clients come back to theirs, as in a rush, they stay. Guards against clients that ask once and keep their connection, by which the others come to have none left.
   */
  private static final double CROWD = 0.15;
  private static final int CROWD_LEAST = 16;
  private static final double UNUSED = 300;
  /** Ms until accepting is tried again after it failed, as it does when descriptors run out. */
  private static final double ACCEPT_PAUSE = 50;

  /**
   * While quiesced, ms after which an idle connection is closed, time enough for a request that is on its way; and ms
   * after the call to that by which those begun before must be whole: none that is younger than 2 s may be held at 4 s.
   */
  private static final double QUIET_AFTER = 1000;
  private static final double LAST_WHOLE = 1800;

  /** Ms that a client has to begin its first request, to send a whole one, and to begin the next. */
  public record Times(double first, double whole, double next) {
    /** Both ends of a bad connection come within 3 s; a good one is opened again at little cost. */
    public static final Times USUAL = new Times(2000, 2200, 5000);
  }

  /**
   * A whole request.
   *
   * @param unread ms for which its last bytes may have lain unread, as the loop was late
   * @param worstTurn ms by which the loop's turns came late in the last seconds, which the answer may meet too
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
  private final Times times;
  private final Set<Session> sessions = new LinkedHashSet<>();
  private Listener listener;
  private int unused;
  private boolean accepting;
  private boolean draining;
  private boolean quiesced;
  private double quiescedAt;
  private long held;

  /** A server that holds so many connections, which have so much time. */
  public HttpServer(EventLoop loop, int mostBody, int mostConnections, Times times, Handler handler) {
    this.loop = loop;
    this.mostBody = mostBody;
    this.mostConnections = mostConnections;
    this.times = times;
    this.handler = handler;
  }

  /** Begins to listen; the address that was bound is returned. */
  public HostPort listen(HostPort at) throws IOException {
    return listen(at, false);
  }

  /** As above; where {@code shared}, another process that says so too may listen there at the same time. */
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

  private void accept() {
    if (accepting || !listener.isOpen() || !room()) {
      return;
    }
    accepting = true;
    listener.accept(connection -> {
      accepting = false;
      Session session = new Session(connection);
      sessions.add(session);
      connection.start(session);
      accept();
    }, e -> {
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
    for (Session s : Set.copyOf(sessions)) {
      unused += s.count > 0 && s.idle() && loop.now() - s.since > UNUSED ? 1 : 0;
      s.check();
    }
    accept();
    if (listener.isOpen() || !sessions.isEmpty()) {
      loop.after(SWEEP, this::sweep);
    }
  }

  /**
   * Guards against running out of descriptors, and against silent clients that keep out the rest: when no more may be
   * open, one that never said anything makes room, else the one longest idle, else one that does not end its request.
   */
  private boolean room() {
    if (sessions.size() < mostConnections) {
      return true;
    }
    Session least = null;
    for (Session s : sessions) {
      if (s.claim() < Session.BUSY && (least == null || s.claim() < least.claim()
          || s.claim() == least.claim() && s.since < least.since)) {
        least = s;
      }
    }
    if (least != null) {
      least.connection.close();
    }
    return least != null;
  }

  private boolean crowded() {
    return unused > Math.max(CROWD_LEAST, CROWD * mostConnections);
  }

  /** From now on each answer ends its connection. */
  public void drain() {
    draining = true;
  }

  /** Sends clients away, or keeps their connections again; connections are taken and served all the while. */
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

  /** Takes no more connections and ends those that are idle; the others end with their answers. */
  public void stopListening() {
    stopAccepting();
    for (Session s : Set.copyOf(sessions)) {
      if (s.idle()) {
        s.connection.close();
      }
    }
  }

  /** Connections on which something is still owed: a request under way, or an answer not yet written. */
  public int busy() {
    return (int) sessions.stream().filter(Session::owes).count();
  }

  private final class Session implements Connection.Owner {
    /** How strong a claim to its place a session has; none makes room that is busy. */
    private static final int SILENT = 0;
    private static final int IDLE = 1;
    private static final int PARTIAL = 2;
    private static final int BUSY = 3;

    private final Connection connection;
    private final WholeMessages messages = new WholeMessages(this::begun, this::whole);
    private final HttpParser parser = new HttpParser(false, mostBody, messages);
    private ByteBuffer ahead = ByteBuffer.allocate(0);
    private Call call;
    private boolean broken;
    private int count;
    private int mine;
    /** When what was read last may have come. */
    private double cameAt;
    /** When it was opened, its request begun or its last answer written. */
    private double since = loop.now();

    Session(Connection connection) {
      this.connection = connection;
    }

    boolean idle() {
      return call == null && parser.idle() && !broken;
    }

    /** Once its last answer is written and its side ended, a connection owes nothing, whenever its client leaves. */
    boolean owes() {
      return call != null || !broken && !parser.idle() || !connection.isWritten();
    }

    int claim() {
      boolean spared = loop.now() - since < SPARED;
      if (idle()) {
        return count > 0 ? IDLE : spared ? BUSY : SILENT;
      }
      return call != null || broken || spared ? BUSY : PARTIAL;
    }

    /** Guards against connections that are opened and left, and requests that are begun and never end. */
    void check() {
      double age = loop.now() - since;
      double quiet = quiesced ? loop.now() - quiescedAt : 0;
      if (quiet > QUIET_AFTER && idle() && age > QUIET_AFTER) {
        connection.close();
      } else if (quiet > LAST_WHOLE && since < quiescedAt + LAST_WHOLE && call == null && !broken && !parser.idle()) {
        refuse(503, "clients are being sent away");
      } else if (idle() && age > (count == 0 ? times.first() : times.next())) {
        connection.close();
      } else if (call == null && !broken && !parser.idle() && age > times.whole()) {
        refuse(408, "the request did not end in time");
      }
    }

    private void refuse(int status, String reason) {
      broken = true;
      release();
      send(handler.unusable(status, reason), false);
    }

    private void release() {
      held -= mine;
      mine = 0;
    }

    @Override
    public void received(ByteBuffer bytes) {
      double seen = loop.now() - loop.unread();
      // What a client sends behind an answer cannot have come before that.
      cameAt = count > 0 && idle() ? Math.max(seen, Math.min(since, loop.now())) : seen;
      take(bytes);
    }

    private void take(ByteBuffer bytes) {
      // Guards against a request that waits for good behind one answered at once: what is ahead is only kept
      // while a call is under way, whose end takes it up.
      while (call == null && bytes.hasRemaining() && !broken) {
        parse(bytes);
      }
      if (bytes.hasRemaining() && !broken) {
        // No more is read until then, so no client can pile up requests here.
        ahead = ByteBuffer.allocate(bytes.remaining()).put(bytes).flip();
        connection.pause();
      }
    }

    private void parse(ByteBuffer bytes) {
      if (parser.idle()) {
        since = loop.now();
      }
      try {
        parser.read(bytes);
        held += messages.held() - mine;
        mine = messages.held();
        if (held > MOST_HELD && mine > 0) {
          // Guards against memory used up by many large bodies at once, none of them too large by itself.
          throw new HttpException(503, "too much is being sent at once");
        }
      } catch (HttpException e) {
        refuse(e.status(), e.getMessage());
      }
    }

    private void begun(HttpHead head) {
      if ("100-continue".equalsIgnoreCase(head.header("expect"))) {
        connection.write(ascii("HTTP/1.1 100 Continue\r\n\r\n"), () -> { });
      }
    }

    private void whole(HttpHead head, byte[] body) {
      // Least recently used first: an idle connection that must make room is the one longest unused.
      sessions.remove(this);
      sessions.add(this);
      count++;
      call = new Call(this, head.keepAlive());
      try {
        handler.handle(new Request(head, body, loop.now() - cameAt, loop.worstTurn()), call);
      } catch (RuntimeException e) {
        // Guards against a request that is lost because dealing with it failed.
        LOG.log(Level.ERROR, "a request could not be dealt with", e);
        call.reply(handler.unusable(500, "failed"));
      }
    }

    private void send(Response r, boolean keep) {
      boolean stays = keep && !draining && !quiesced && !crowded();
      StringBuilder text = new StringBuilder("HTTP/1.1 ").append(r.status()).append(' ').append(reason(r.status()));
      r.headers().forEach((name, value) -> text.append("\r\n").append(name).append(": ").append(value));
      text.append("\r\nContent-Length: ").append(r.body().length);
      text.append(stays ? "\r\n\r\n" : "\r\nConnection: close\r\n\r\n");
      ByteBuffer first = ascii(text.toString());
      ByteBuffer all = ByteBuffer.allocate(first.remaining() + r.body().length).put(first).put(r.body()).flip();
      connection.write(all, () -> {
        call = null;
        since = loop.now();
        if (ahead.hasRemaining() && stays) {
          ByteBuffer next = ahead;
          ahead = ByteBuffer.allocate(0);
          take(next);
          if (call == null) {
            connection.resume();
          }
        }
        accept();
      });
      if (!stays) {
        broken = true;
        connection.closeAfterWrites();
      }
    }

    @Override
    public void closed() {
      sessions.remove(this);
      release();
      if (call != null && !call.replied && call.gone != null) {
        call.gone.run();
      }
      accept();
    }
  }

  private static final class Call implements Exchange {
    private final Session session;
    private final boolean keep;
    private Runnable gone;
    private boolean replied;

    Call(Session session, boolean keep) {
      this.session = session;
      this.keep = keep;
    }

    @Override
    public void reply(Response response) {
      if (!replied) {
        replied = true;
        session.send(response, keep);
      }
    }

    @Override
    public void onGone(Runnable gone) {
      this.gone = gone;
    }
  }

  static ByteBuffer ascii(String text) {
    return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static String reason(int status) {
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
