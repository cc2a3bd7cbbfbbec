package bitternpulley.net;

import bitternpulley.net.HttpServer.Exchange;
import bitternpulley.net.HttpServer.Request;
import bitternpulley.net.HttpServer.Response;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;

/**
 * One client's connection: idle, reading a request, with a request under way, or ending. Bytes are
 * read in each of these, so that a client that leaves is noticed at once.
 */
final class HttpSession implements Connection.Owner {
  /** How strong a claim to its place a session has; none makes room that is busy. */
  static final int SILENT = 0;

  static final int IDLE = 1;
  static final int PARTIAL = 2;
  static final int BUSY = 3;

  private static final System.Logger LOG = System.getLogger(HttpSession.class.getName());

  /**
   * Bytes kept of what a client sends ahead of its turn. A client that sends more is answered so
   * far, and then told so.
   */
  private static final int MOST_AHEAD = 256 * 1024;

  /**
   * Ms that the client of an idle connection gets to end its side after ours: what was on its way
   * as we did so arrives by then, and is dropped.
   */
  private static final double CROSSING = 25;

  /**
   * Ms by which a request may have lain unread and its client still be taken to be there, without
   * another look.
   */
  private static final double SURELY_THERE = 50;

  private static final ByteBuffer NOTHING = ByteBuffer.allocate(0);

  private final HttpServer server;
  private final EventLoop loop;
  private final Connection connection;
  private final WholeMessages messages = new WholeMessages(this::begun, this::whole);
  private final HttpParser parser;

  /** What was sent ahead of its turn, up to the position. */
  private ByteBuffer ahead = NOTHING;

  private boolean overrun;
  private Call call;
  private boolean broken;
  private int count;
  private long mine;

  /** When what was read last may have come. */
  private double cameAt;

  /** When it was opened, its request begun or its last answer written. */
  private double since;

  HttpSession(HttpServer server, Connection connection, int mostBody) {
    this.server = server;
    this.loop = server.loop();
    this.connection = connection;
    this.parser = new HttpParser(false, mostBody, messages);
    this.since = loop.now();
  }

  private boolean idle() {
    return call == null && parser.idle() && !broken;
  }

  private double age() {
    return loop.now() - since;
  }

  double since() {
    return since;
  }

  boolean unusedFor(double ms) {
    return count > 0 && idle() && age() > ms;
  }

  /**
   * Until its client has ended its side as well, or had the time to, and while a first request may
   * be on its way. Guards against a program that ends, and with it by a reset the connection of a
   * client which still reads its answer.
   */
  boolean owes() {
    return count == 0 || call != null || broken || !parser.idle() || !connection.isWritten();
  }

  /** Whether a request is under way, or an answer on its way out. */
  boolean owesAnswer() {
    return call != null || !connection.isWritten();
  }

  int claim() {
    boolean spared = server.spares(age());
    if (idle()) {
      return count > 0 ? IDLE : spared ? BUSY : SILENT;
    }
    if (connection.isLingering()) {
      return spared ? BUSY : SILENT;
    }
    return call != null || broken || spared ? BUSY : PARTIAL;
  }

  void makeRoom() {
    if (connection.isLingering()) {
      connection.close();
    } else if (idle()) {
      end();
    } else {
      refuse(503, "there is no room");
    }
  }

  /**
   * Guards against connections that are opened and left, and requests that are begun and never end.
   */
  void check() {
    HttpServer.Timeouts timeouts = server.timeouts();
    if (idle()
        && (age() > (count == 0 ? timeouts.firstByte() : timeouts.keepAlive())
            || server.endsIdle(age(), count > 0))) {
      end();
    } else if (call == null && !broken && !parser.idle() && server.tooLate(since)) {
      refuse(503, "clients are being sent away");
    } else if (call == null && !broken && !parser.idle() && age() > timeouts.request()) {
      refuse(408, "the request did not end in time");
    }
  }

  /**
   * Ends an idle connection in order: a request that crosses the end is not read, and its client
   * sees no reset.
   */
  private void end() {
    broken = true;
    connection.closeGracefully(CROSSING);
  }

  private void refuse(int status, String reason) {
    broken = true;
    ahead = NOTHING;
    hold(0);
    send(server.handler().unusable(status, reason), false);
  }

  /** False where all connections together keep too much. */
  private boolean hold(long bytes) {
    boolean fits = server.holds(mine, bytes);
    mine = bytes;
    return fits;
  }

  @Override
  public void received(ByteBuffer bytes) {
    double seen = loop.now() - loop.unread();
    // What a client sends behind an answer cannot have come before that.
    cameAt = count > 0 && idle() ? Math.max(seen, Math.min(since, loop.now())) : seen;
    take(bytes);
    if (bytes.hasRemaining() && !broken) {
      keep(bytes);
    }
  }

  private void take(ByteBuffer bytes) {
    while (call == null && bytes.hasRemaining() && !broken) {
      parse(bytes);
    }
  }

  /** What comes while a request is under way waits for the end of that. */
  private void keep(ByteBuffer bytes) {
    if (overrun) {
      return;
    }
    int size = ahead.position() + bytes.remaining();
    if (size > MOST_AHEAD || !hold(size)) {
      // Guards against memory used up by what is sent ahead. It is read on all the same: were it
      // left unread, its client's
      // end behind it would not be seen.
      overrun = true;
      hold(ahead.position());
      connection.dropInput();
      return;
    }
    if (size > ahead.capacity()) {
      ahead =
          ByteBuffer.allocate(Math.max(size, Math.min(MOST_AHEAD, 2 * ahead.capacity())))
              .put(ahead.flip());
    }
    ahead.put(bytes);
  }

  /** Takes up what was sent ahead. */
  private void goOn() {
    ahead.flip();
    take(ahead);
    if (broken) {
      return;
    }
    ahead.compact();
    if (ahead.position() == 0) {
      ahead = NOTHING;
    }
    if (call == null && overrun) {
      refuse(413, "more was sent ahead than is kept");
    } else {
      hold(ahead.position() + messages.held());
    }
  }

  private void parse(ByteBuffer bytes) {
    if (parser.idle()) {
      since = loop.now();
    }
    try {
      parser.read(bytes);
      if (!hold(messages.held()) && messages.held() > 0) {
        // Guards against memory used up by many large bodies at once, none of them too large by
        // itself.
        throw new HttpException(503, "too much is being sent at once");
      }
    } catch (HttpException e) {
      refuse(e.status(), e.getMessage());
    }
  }

  private void begun(HttpHead head) {
    if ("100-continue".equalsIgnoreCase(head.header("expect"))) {
      connection.write(HttpServer.ascii("HTTP/1.1 100 Continue\r\n\r\n"), () -> {});
    }
  }

  /**
   * Hands a whole request on at the end of the turn, when what lies behind it on the connection has
   * been read. Guards against the request of a client that has left meanwhile; where the loop was
   * late, the sockets are looked at once more.
   */
  private void whole(HttpHead head, byte[] body) {
    server.used(this);
    count++;
    Call next = new Call(this, head.keepAlive());
    call = next;
    Runnable handle = () -> handle(head, body, next);
    if (loop.unread() > SURELY_THERE) {
      loop.after(0, handle);
    } else {
      loop.execute(handle);
    }
  }

  private void handle(HttpHead head, byte[] body, Call next) {
    if (connection.isClosed()) {
      return;
    }
    if (server.tooLate(since)) {
      refuse(503, "clients are being sent away");
      return;
    }
    try {
      server.handler().handle(new Request(head, body, loop.now() - cameAt, loop.worstTurn()), next);
    } catch (RuntimeException e) {
      // Guards against a request that is lost because dealing with it failed.
      LOG.log(Level.ERROR, "a request could not be dealt with", e);
      next.reply(server.handler().unusable(500, "failed"));
    }
  }

  private void send(Response r, boolean keep) {
    boolean stays = keep && server.keepsConnections();
    StringBuilder text =
        new StringBuilder("HTTP/1.1 ")
            .append(r.status())
            .append(' ')
            .append(HttpServer.reason(r.status()));
    r.headers()
        .forEach((name, value) -> text.append("\r\n").append(name).append(": ").append(value));
    text.append("\r\nContent-Length: ").append(r.body().length);
    text.append(stays ? "\r\n\r\n" : "\r\nConnection: close\r\n\r\n");
    ByteBuffer first = HttpServer.ascii(text.toString());
    ByteBuffer all =
        ByteBuffer.allocate(first.remaining() + r.body().length).put(first).put(r.body()).flip();
    connection.write(
        all,
        () -> {
          call = null;
          since = loop.now();
          if (stays && (ahead.position() > 0 || overrun)) {
            goOn();
          }
          server.lookForRoom();
        });
    if (!stays) {
      broken = true;
      connection.closeGracefully();
    }
  }

  @Override
  public void closed() {
    hold(0);
    ahead = NOTHING;
    if (call != null) {
      call.left();
    }
    server.ended(this);
  }

  private static final class Call implements Exchange {
    private final HttpSession session;
    private final boolean keep;
    private Runnable gone;
    private boolean replied;

    Call(HttpSession session, boolean keep) {
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

    void left() {
      if (!replied && gone != null) {
        gone.run();
      }
    }
  }
}
