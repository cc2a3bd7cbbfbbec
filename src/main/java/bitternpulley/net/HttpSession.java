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
  private static final int MAX_PIPELINED_BYTES = 256 * 1024;

  /**
   * Ms that the client of an idle connection gets to end its side after ours: what was on its way
   * as we did so arrives by then, and is dropped.
   */
  private static final double IDLE_LINGER_MS = 25;

  /**
   * Ms by which a request may have lain unread and its client still be taken to be there, without
   * another look.
   */
  private static final double RECHECK_AFTER_MS = 50;

  private static final ByteBuffer EMPTY = ByteBuffer.allocate(0);

  private final HttpServer server;
  private final EventLoop loop;
  private final Connection connection;
  private final HttpMessageAggregator aggregator =
      new HttpMessageAggregator(this::onHead, this::onRequest);
  private final HttpParser parser;

  /** What was sent ahead of its turn, up to the position. */
  private ByteBuffer pipelined = EMPTY;

  private boolean pipelineOverflowed;
  private HttpExchange exchange;
  private boolean ending;
  private int requestCount;
  private long bufferedBytes;

  /** When what was read last may have come. */
  private double arrivedAt;

  /** When it was opened, its request begun or its last answer written. */
  private double since;

  HttpSession(HttpServer server, Connection connection, int mostBody) {
    this.server = server;
    this.loop = server.loop();
    this.connection = connection;
    this.parser = new HttpParser(false, mostBody, aggregator);
    this.since = loop.now();
  }

  private boolean isIdle() {
    return exchange == null && parser.idle() && !ending;
  }

  private double age() {
    return loop.now() - since;
  }

  double since() {
    return since;
  }

  boolean isUnusedFor(double ms) {
    return requestCount > 0 && isIdle() && age() > ms;
  }

  /**
   * Until its client has ended its side as well, or had the time to, and while a first request may
   * be on its way. Guards against a program that ends, and with it by a reset the connection of a
   * client which still reads its answer.
   */
  boolean hasPendingWork() {
    return requestCount == 0
        || exchange != null
        || ending
        || !parser.idle()
        || !connection.hasWrittenAll();
  }

  /** Whether a request is under way, or an answer on its way out. */
  boolean hasPendingResponse() {
    return exchange != null || !connection.hasWrittenAll();
  }

  int claim() {
    boolean spared = server.isWithinGrace(age());
    if (isIdle()) {
      return requestCount > 0 ? IDLE : spared ? BUSY : SILENT;
    }
    if (connection.isLingering()) {
      return spared ? BUSY : SILENT;
    }
    return exchange != null || ending || spared ? BUSY : PARTIAL;
  }

  void evict() {
    if (connection.isLingering()) {
      connection.close();
    } else if (isIdle()) {
      closeIdle();
    } else {
      refuse(503, "there is no room");
    }
  }

  /**
   * Guards against connections that are opened and left, and requests that are begun and never end.
   */
  void enforceTimeouts() {
    HttpServer.Timeouts timeouts = server.timeouts();
    if (isIdle()
        && (age() > (requestCount == 0 ? timeouts.firstByte() : timeouts.keepAlive())
            || server.endsIdle(age(), requestCount > 0))) {
      closeIdle();
    } else if (exchange == null && !ending && !parser.idle() && server.isTooLate(since)) {
      refuse(503, "clients are being sent away");
    } else if (exchange == null && !ending && !parser.idle() && age() > timeouts.request()) {
      refuse(408, "the request did not end in time");
    }
  }

  /**
   * Ends an idle connection in order: a request that crosses the end is not read, and its client
   * sees no reset.
   */
  private void closeIdle() {
    ending = true;
    connection.closeGracefully(IDLE_LINGER_MS);
  }

  private void refuse(int status, String reason) {
    ending = true;
    pipelined = EMPTY;
    recordBuffered(0);
    send(server.handler().unusable(status, reason), false);
  }

  /** False where all connections together keep too much. */
  private boolean recordBuffered(long bytes) {
    boolean fits = server.recordBuffered(bufferedBytes, bytes);
    bufferedBytes = bytes;
    return fits;
  }

  @Override
  public void received(ByteBuffer bytes) {
    double seen = loop.now() - loop.unreadMs();
    // What a client sends behind an answer cannot have come before that.
    arrivedAt = requestCount > 0 && isIdle() ? Math.max(seen, Math.min(since, loop.now())) : seen;
    parseRequests(bytes);
    if (bytes.hasRemaining() && !ending) {
      bufferPipelined(bytes);
    }
  }

  private void parseRequests(ByteBuffer bytes) {
    while (exchange == null && bytes.hasRemaining() && !ending) {
      parse(bytes);
    }
  }

  /** What comes while a request is under way waits for the end of that. */
  private void bufferPipelined(ByteBuffer bytes) {
    if (pipelineOverflowed) {
      return;
    }
    int size = pipelined.position() + bytes.remaining();
    if (size > MAX_PIPELINED_BYTES || !recordBuffered(size)) {
      // Guards against memory used up by what is sent ahead. It is read on all the same: were it
      // left unread, its client's
      // end behind it would not be seen.
      pipelineOverflowed = true;
      recordBuffered(pipelined.position());
      connection.dropInput();
      return;
    }
    if (size > pipelined.capacity()) {
      pipelined =
          ByteBuffer.allocate(
                  Math.max(size, Math.min(MAX_PIPELINED_BYTES, 2 * pipelined.capacity())))
              .put(pipelined.flip());
    }
    pipelined.put(bytes);
  }

  /** Takes up what was sent ahead. */
  private void resumePipelined() {
    pipelined.flip();
    parseRequests(pipelined);
    if (ending) {
      return;
    }
    pipelined.compact();
    if (pipelined.position() == 0) {
      pipelined = EMPTY;
    }
    if (exchange == null && pipelineOverflowed) {
      refuse(413, "more was sent ahead than is kept");
    } else {
      recordBuffered(pipelined.position() + aggregator.bufferedBytes());
    }
  }

  private void parse(ByteBuffer bytes) {
    if (parser.idle()) {
      since = loop.now();
    }
    try {
      parser.read(bytes);
      if (!recordBuffered(aggregator.bufferedBytes()) && aggregator.bufferedBytes() > 0) {
        // Guards against memory used up by many large bodies at once, none of them too large by
        // itself.
        throw new HttpException(503, "too much is being sent at once");
      }
    } catch (HttpException e) {
      refuse(e.status(), e.getMessage());
    }
  }

  private void onHead(HttpHead head) {
    if ("100-continue".equalsIgnoreCase(head.header("expect"))) {
      connection.write(HttpServer.ascii("HTTP/1.1 100 Continue\r\n\r\n"), () -> {});
    }
  }

  /**
   * Hands a whole request on at the end of the turn, when what lies behind it on the connection has
   * been read. Guards against the request of a client that has left meanwhile; where the loop was
   * late, the sockets are looked at once more.
   */
  private void onRequest(HttpHead head, byte[] body) {
    server.markUsed(this);
    requestCount++;
    HttpExchange next = new HttpExchange(this, head.keepAlive());
    exchange = next;
    Runnable handle = () -> handle(head, body, next);
    if (loop.unreadMs() > RECHECK_AFTER_MS) {
      loop.after(0, handle);
    } else {
      loop.execute(handle);
    }
  }

  private void handle(HttpHead head, byte[] body, HttpExchange next) {
    if (connection.isClosed()) {
      return;
    }
    if (server.isTooLate(since)) {
      refuse(503, "clients are being sent away");
      return;
    }
    try {
      server
          .handler()
          .handle(new Request(head, body, loop.now() - arrivedAt, loop.worstLagMs()), next);
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
            .append(HttpServer.reasonPhrase(r.status()));
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
          exchange = null;
          since = loop.now();
          if (stays && (pipelined.position() > 0 || pipelineOverflowed)) {
            resumePipelined();
          }
          server.acceptIfCapacity();
        });
    if (!stays) {
      ending = true;
      connection.closeGracefully();
    }
  }

  @Override
  public void closed() {
    recordBuffered(0);
    pipelined = EMPTY;
    if (exchange != null) {
      exchange.clientDisconnected();
    }
    server.remove(this);
  }

  private static final class HttpExchange implements Exchange {
    private final HttpSession session;
    private final boolean keepAlive;
    private Runnable onDisconnect;
    private boolean replied;

    HttpExchange(HttpSession session, boolean keep) {
      this.session = session;
      this.keepAlive = keep;
    }

    @Override
    public void reply(Response response) {
      if (!replied) {
        replied = true;
        session.send(response, keepAlive);
      }
    }

    @Override
    public void onGone(Runnable gone) {
      this.onDisconnect = gone;
    }

    void clientDisconnected() {
      if (!replied && onDisconnect != null) {
        onDisconnect.run();
      }
    }
  }
}
