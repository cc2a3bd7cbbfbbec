package bitternpulley.net;

import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;

/**
 * One client's connection: idle, receiving a request, handling one, or ending. It reads in each of
 * these states, so that a client that disconnects is noticed at once.
 */
final class HttpSession implements Connection.Owner {
  /** The order in which sessions are evicted when a server has no capacity left. */
  enum EvictionOrder {
    /** The client has sent nothing yet, or only its end of the connection is missing. */
    SILENT,
    /** No request is in progress. */
    IDLE,
    /** A request is incomplete. */
    PARTIAL,
    /** The session is busy, or too young to be judged. */
    NEVER
  }

  private static final System.Logger LOG = System.getLogger(HttpSession.class.getName());

  /**
   * Time that the client of an idle connection gets to end its side after this one: a request that
   * crossed the close arrives by then and is discarded.
   */
  private static final double IDLE_LINGER_MS = 25;

  /**
   * When a request may have lain unread for longer than this, the sockets are polled once more
   * before it is handled, as its client may have disconnected.
   */
  private static final double RECHECK_AFTER_MS = 50;

  private final HttpServer server;
  private final HttpSessionRegistry sessions;
  private final DrainState drainState;
  private final EventLoop loop;
  private final Connection connection;
  private final HttpMessageAggregator aggregator =
      new HttpMessageAggregator(this::onHead, this::onRequest);
  private final HttpParser parser;
  private final PipelineBuffer pipeline = new PipelineBuffer();
  private boolean pipelineOverflowed;
  private HttpExchange exchange;
  private boolean ending;
  private int requestCount;
  private long bufferedBytes;

  /** When the bytes that were read last may have arrived. */
  private double arrivedAt;

  /** When the connection was opened, its request begun or its last response written. */
  private double since;

  HttpSession(HttpServer server, Connection connection, int maxBodyBytes) {
    this.server = server;
    this.sessions = server.sessions();
    this.drainState = server.drainState();
    this.loop = server.loop();
    this.connection = connection;
    this.parser = new HttpParser(false, maxBodyBytes, aggregator);
    this.since = loop.now();
  }

  private boolean isIdle() {
    return exchange == null && parser.idle() && !ending;
  }

  private boolean isReceivingRequest() {
    return exchange == null && !ending && !parser.idle();
  }

  private double age() {
    return loop.now() - since;
  }

  /** Returns whether the client has kept the connection idle for {@code ms} after a response. */
  boolean isUnusedFor(double ms) {
    return requestCount > 0 && isIdle() && age() > ms;
  }

  /**
   * Returns whether the session has work left. This includes a first request that may be on its
   * way, and the client's end of the connection: a process that exits before it would send a reset
   * to a client that is still reading its response.
   */
  boolean hasPendingWork() {
    return requestCount == 0
        || exchange != null
        || ending
        || !parser.idle()
        || !connection.hasWrittenAll();
  }

  /** Returns whether a request is in progress, or its response not completely written. */
  boolean hasPendingResponse() {
    return exchange != null || !connection.hasWrittenAll();
  }

  /** Returns when this session may be evicted, relative to others. */
  EvictionOrder evictionOrder() {
    boolean withinGrace = sessions.isWithinGrace(age());
    if (isIdle() && requestCount > 0) {
      return EvictionOrder.IDLE;
    }
    if (withinGrace) {
      return EvictionOrder.NEVER;
    }
    if (isIdle() || connection.isLingering()) {
      return EvictionOrder.SILENT;
    }
    return exchange != null || ending ? EvictionOrder.NEVER : EvictionOrder.PARTIAL;
  }

  /** Returns whether this session is evicted before another; of equals, the longest unchanged. */
  boolean isEvictedBefore(HttpSession other) {
    int order = evictionOrder().compareTo(other.evictionOrder());
    return order < 0 || (order == 0 && since < other.since);
  }

  /** Ends the session so that another client can be served. */
  void evict() {
    if (connection.isLingering()) {
      connection.close();
    } else if (isIdle()) {
      closeIdle();
    } else {
      refuse(503, "there is no room");
    }
  }

  /** Ends connections that stay unused and requests that stay incomplete. */
  void enforceTimeouts() {
    if (isIdle() && isIdleTimeOver()) {
      closeIdle();
    } else if (isReceivingRequest() && drainState.rejectsRequest(since)) {
      refuse(503, "clients are being sent away");
    } else if (isReceivingRequest() && age() > server.timeouts().request()) {
      refuse(408, "the request did not end in time");
    }
  }

  private boolean isIdleTimeOver() {
    HttpServer.Timeouts timeouts = server.timeouts();
    return age() > (requestCount == 0 ? timeouts.firstByte() : timeouts.keepAlive())
        || drainState.closesIdle(age(), requestCount > 0);
  }

  /**
   * Closes an idle connection in order: a request that crosses the close is not read, and its
   * client sees no reset.
   */
  private void closeIdle() {
    ending = true;
    connection.closeGracefully(IDLE_LINGER_MS);
  }

  private void refuse(int status, String reason) {
    ending = true;
    pipeline.clear();
    recordBuffered(0);
    send(server.handler().errorResponse(status, reason), false);
  }

  /** Records the bytes buffered here; returns false when all sessions together buffer too much. */
  private boolean recordBuffered(long bytes) {
    boolean fits = sessions.recordBuffered(bufferedBytes, bytes);
    bufferedBytes = bytes;
    return fits;
  }

  @Override
  public void received(ByteBuffer bytes) {
    double earliest = loop.now() - loop.unreadMs();
    // What a client sends after a response cannot have arrived before it was written.
    arrivedAt =
        requestCount > 0 && isIdle() ? Math.max(earliest, Math.min(since, loop.now())) : earliest;
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

  private void parse(ByteBuffer bytes) {
    if (parser.idle()) {
      since = loop.now();
    }
    try {
      parser.read(bytes);
      // Many large bodies at once may exceed the memory although none of them is too large.
      if (!recordBuffered(aggregator.bufferedBytes()) && aggregator.bufferedBytes() > 0) {
        throw new HttpException(503, "too much is being sent at once");
      }
    } catch (HttpException exception) {
      refuse(exception.status(), exception.getMessage());
    }
  }

  /** Buffers what arrives while a request is in progress. */
  private void bufferPipelined(ByteBuffer bytes) {
    if (pipelineOverflowed) {
      return;
    }
    int size = pipeline.sizeWith(bytes);
    if (PipelineBuffer.fits(size) && recordBuffered(size)) {
      pipeline.append(bytes);
      return;
    }
    // Reading goes on, because the client's end of the connection behind this would not be noticed
    // otherwise.
    pipelineOverflowed = true;
    recordBuffered(pipeline.size());
    connection.discardInput();
  }

  /** Continues with what arrived while the last request was in progress. */
  private void resumePipelined() {
    parseRequests(pipeline.startReading());
    if (ending) {
      return;
    }
    pipeline.finishReading();
    if (exchange == null && pipelineOverflowed) {
      refuse(413, "more was sent ahead than is kept");
    } else {
      recordBuffered(pipeline.size() + aggregator.bufferedBytes());
    }
  }

  private void onHead(HttpHead head) {
    if ("100-continue".equalsIgnoreCase(head.header("expect"))) {
      connection.write(HttpResponseEncoder.encodeContinue(), () -> {});
    }
  }

  /**
   * Hands on a complete request at the end of the turn, when the client's end of the connection, if
   * it lies behind the request, has been read: a request whose client has left is not handled.
   */
  private void onRequest(HttpHead head, byte[] body) {
    sessions.markUsed(this);
    requestCount++;
    HttpExchange next = new HttpExchange(this, head.keepAlive());
    exchange = next;
    Runnable handle = () -> handle(head, body, next);
    if (loop.unreadMs() > RECHECK_AFTER_MS) {
      loop.schedule(0, handle);
    } else {
      loop.execute(handle);
    }
  }

  private void handle(HttpHead head, byte[] body, HttpExchange next) {
    if (connection.isClosed()) {
      return;
    }
    if (drainState.rejectsRequest(since)) {
      refuse(503, "clients are being sent away");
      return;
    }
    try {
      double unread = loop.now() - arrivedAt;
      server.handler().handle(new HttpServer.Request(head, body, unread, loop.worstLagMs()), next);
    } catch (RuntimeException exception) {
      // Supervised boundary: a request whose handler fails still gets a response.
      LOG.log(Level.ERROR, "Handling a request failed", exception);
      next.reply(server.handler().errorResponse(500, "failed"));
    }
  }

  /** Writes a response, after which the connection stays open if {@code keepAlive} and allowed. */
  void send(HttpServer.Response response, boolean keepAlive) {
    boolean staysOpen = keepAlive && server.keepsConnections();
    connection.write(
        HttpResponseEncoder.encode(response, staysOpen), () -> responseWritten(staysOpen));
    if (!staysOpen) {
      ending = true;
      connection.closeGracefully();
    }
  }

  private void responseWritten(boolean staysOpen) {
    exchange = null;
    since = loop.now();
    if (staysOpen && (pipeline.size() > 0 || pipelineOverflowed)) {
      resumePipelined();
    }
    server.acceptIfCapacity();
  }

  @Override
  public void closed() {
    recordBuffered(0);
    pipeline.clear();
    if (exchange != null) {
      exchange.clientDisconnected();
    }
    server.sessionEnded(this);
  }
}
