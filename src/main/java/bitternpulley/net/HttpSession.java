package bitternpulley.net;

import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * One client connection: idle, receiving a request, handling one, or closing. It keeps reading in
 * each of these states, so that a disconnect of the client is noticed at once.
 */
final class HttpSession implements Connection.Owner, ClientMemoryBudget.Holder {
  private static final System.Logger LOG = System.getLogger(HttpSession.class.getName());

  /**
   * Time that the client of an idle connection has to close its side after this side was shut down.
   * A request that crossed the close arrives within this time and is discarded.
   */
  private static final double IDLE_LINGER_MS = 25;

  /**
   * When a request may have waited longer than this to be read, the sockets are polled once more
   * before it is handled, because its client may have disconnected.
   */
  private static final double RECHECK_AFTER_MS = 50;

  /** Time for which the pieces of a trickling request are left in the kernel. */
  private static final double TRICKLE_READ_PAUSE_MS = 25;

  private final HttpServer server;
  private final HttpSessionRegistry sessions;
  private final ClientMemoryBudget memoryBudget;
  private final ExchangeMemory exchangeMemory;
  private final DrainState drainState;
  private final EventLoop loop;
  private final Connection connection;
  private final HttpMessageAggregator aggregator =
      new HttpMessageAggregator(this::onHead, this::onRequest);
  private final HttpParser parser;
  private final PipelineBuffer pipeline = new PipelineBuffer();
  private final RequestTrickle trickle = new RequestTrickle();
  private boolean pipelineOverflowed;

  /** Starts the requests sent ahead. */
  private final RequestTurns turns;

  private HttpExchange exchange;
  private boolean closing;
  private int requestCount;

  /** The heap that this session was last recorded to occupy, in bytes. */
  private long heldBytes;

  /** Earliest time at which the bytes read last may have arrived. */
  private double arrivedAt;

  /** When the connection was opened, its request began or its last response was written. */
  private double stateChangedAt;

  HttpSession(HttpServer server, Connection connection, int maxBodyBytes) {
    this.server = server;
    this.sessions = server.sessions();
    this.memoryBudget = server.memoryBudget();
    this.exchangeMemory = new ExchangeMemory(server.exchangeBudget(), connection);
    this.drainState = server.drainState();
    this.loop = server.loop();
    this.connection = connection;
    this.turns = new RequestTurns(loop);
    this.parser = new HttpParser(false, maxBodyBytes, aggregator);
    this.stateChangedAt = loop.now();
  }

  private boolean isIdle() {
    return exchange == null && !turns.awaitsTurn() && parser.isBetweenMessages() && !closing;
  }

  private boolean isReceivingRequest() {
    return exchange == null && !closing && !parser.isBetweenMessages();
  }

  private double msInState() {
    return loop.now() - stateChangedAt;
  }

  /** Returns whether the connection has been idle for more than {@code ms} after a response. */
  boolean isUnusedFor(double ms) {
    return requestCount > 0 && isIdle() && msInState() > ms;
  }

  /**
   * Returns whether the session has pending work. This includes a first request that may be on its
   * way, and waiting for the client to close its side: a process that exits earlier would send a
   * reset to a client that is still reading its response.
   */
  boolean hasPendingWork() {
    return requestCount == 0
        || exchange != null
        || turns.awaitsTurn()
        || closing
        || !parser.isBetweenMessages()
        || !connection.hasWrittenAll();
  }

  /** Returns whether a request is in progress or its response is not completely written. */
  boolean hasPendingResponse() {
    return exchange != null || turns.awaitsTurn() || !connection.hasWrittenAll();
  }

  /** Returns the rank of this session in the order of eviction. */
  EvictionOrder evictionOrder() {
    boolean withinGrace = sessions.isWithinGrace(msInState());
    if (isIdle() && requestCount > 0) {
      return EvictionOrder.IDLE;
    }
    if (withinGrace) {
      return EvictionOrder.NEVER;
    }
    if (isIdle() || connection.isLingering()) {
      return EvictionOrder.SILENT;
    }
    return exchange != null || turns.awaitsTurn() || closing
        ? EvictionOrder.NEVER
        : EvictionOrder.INCOMPLETE;
  }

  /**
   * Returns whether this session is evicted before another; of two with the same rank, the one that
   * has been in its state for longer comes first.
   */
  boolean isEvictedBefore(HttpSession other) {
    int order = evictionOrder().compareTo(other.evictionOrder());
    return order < 0 || (order == 0 && stateChangedAt < other.stateChangedAt);
  }

  /** Ends the session so that another client can be served. */
  void evict() {
    if (connection.isLingering()) {
      connection.close();
    } else if (isIdle()) {
      closeIdle();
    } else {
      rejectAndClose(503, "there is no room");
    }
  }

  /**
   * Applies the time-outs. Supervised boundary: a failure closes only this connection, so that the
   * time-outs of the others are applied.
   */
  void enforceTimeoutsClosingOnError() {
    try {
      enforceTimeouts();
    } catch (RuntimeException | Error failure) {
      LOG.log(Level.ERROR, "Applying a time-out failed; closing the connection", failure);
      connection.close();
    }
  }

  /** Closes the connection if it stays idle, or rejects its request if that stays incomplete. */
  private void enforceTimeouts() {
    if (isIdle() && isIdleTimeOver()) {
      closeIdle();
    } else if (isReceivingRequest() && drainState.rejectsRequest(stateChangedAt)) {
      rejectAndClose(503, "clients are being sent away");
    } else if (isReceivingRequest() && msInState() > server.timeouts().request()) {
      rejectAndClose(408, "the request did not end in time");
    }
  }

  private boolean isIdleTimeOver() {
    HttpServer.Timeouts timeouts = server.timeouts();
    return msInState() > (requestCount == 0 ? timeouts.firstByte() : timeouts.keepAlive())
        || drainState.closesIdle(msInState(), requestCount > 0);
  }

  /**
   * Closes an idle connection gracefully: a request that crosses the close is discarded, and its
   * client sees no reset.
   */
  private void closeIdle() {
    closing = true;
    connection.closeGracefully(IDLE_LINGER_MS);
  }

  private void rejectAndClose(int status, String reason) {
    closing = true;
    pipeline.clear();
    aggregator.discard();
    parser.discard();
    send(server.handler().errorResponse(status, reason), false);
  }

  /** Records the heap that this session occupies. */
  private void recordHeldBytes() {
    exchangeMemory.update();
    long bytes = incompleteBytes() + pipeline.capacity();
    if (bytes != heldBytes) {
      heldBytes = bytes;
      memoryBudget.record(this, bytes);
    }
  }

  private long incompleteBytes() {
    return isReceivingRequest() ? parser.heldBytes() + aggregator.heldBytes() : 0;
  }

  @Override
  public ClientMemoryBudget.ReleaseOrder releaseOrder() {
    return isReceivingRequest() || pipeline.size() > 0
        ? ClientMemoryBudget.ReleaseOrder.PENDING
        : ClientMemoryBudget.ReleaseOrder.NEVER;
  }

  @Override
  public void release() {
    heldBytes = 0;
    if (isReceivingRequest()) {
      rejectAndClose(503, "too much is being sent at once");
    } else if (pipeline.size() > 0) {
      dropPipelined();
    }
    recordHeldBytes();
  }

  @Override
  public void received(ByteBuffer bytes) {
    double earliest = loop.now() - loop.unreadMs();
    // What a client sends after a response cannot have arrived before the response was written.
    arrivedAt =
        requestCount > 0 && isIdle()
            ? Math.max(earliest, Math.min(stateChangedAt, loop.now()))
            : earliest;
    int count = bytes.remaining();
    parseRequests(bytes);
    if (bytes.hasRemaining() && !closing) {
      bufferPipelined(bytes);
    }
    slowDownTrickle(count);
  }

  private void slowDownTrickle(int count) {
    if (!isReceivingRequest()) {
      trickle.reset();
      return;
    }
    trickle.record(count);
    if (trickle.isTrickling()) {
      connection.delayNextRead(TRICKLE_READ_PAUSE_MS);
    }
  }

  private void parseRequests(ByteBuffer bytes) {
    while (exchange == null && !turns.awaitsTurn() && bytes.hasRemaining() && !closing) {
      parse(bytes);
    }
  }

  private void parse(ByteBuffer bytes) {
    if (parser.isBetweenMessages()) {
      stateChangedAt = loop.now();
    }
    try {
      parser.read(bytes);
    } catch (HttpException exception) {
      rejectAndClose(exception.status(), exception.getMessage());
    }
    recordHeldBytes();
  }

  /** Buffers bytes that arrive while a request is in progress. */
  private void bufferPipelined(ByteBuffer bytes) {
    if (pipelineOverflowed) {
      return;
    }
    if (pipeline.fits(bytes)) {
      pipeline.append(bytes);
      recordHeldBytes();
    } else {
      discardPipelined();
    }
  }

  /** Reads on without keeping anything, because a disconnect would go unnoticed otherwise. */
  private void discardPipelined() {
    pipelineOverflowed = true;
    connection.discardInput();
  }

  private void dropPipelined() {
    pipeline.clear();
    discardPipelined();
  }

  /** Continues with the bytes that arrived while the last request was in progress. */
  private void resumePipelined() {
    if (closing || connection.isClosed()) {
      return;
    }
    ByteBuffer buffered = pipeline.startReading();
    parseRequests(buffered);
    if (closing) {
      return;
    }
    pipeline.finishReading(buffered);
    if (exchange == null && pipelineOverflowed) {
      rejectAndClose(413, "more was sent ahead than is kept");
    }
    recordHeldBytes();
  }

  private void onHead(HttpHead head) {
    if ("100-continue".equalsIgnoreCase(head.header("expect"))) {
      connection.write(HttpResponseEncoder.encodeContinue(), () -> {});
    }
  }

  /**
   * Passes on a complete request at the end of the turn. A disconnect that directly follows the
   * request has been read by then, and a request whose client has disconnected is not handled.
   */
  private void onRequest(HttpHead head, byte[] body) {
    sessions.markUsed(this);
    requestCount++;
    HttpExchange newExchange = new HttpExchange(this, head.keepAlive());
    exchange = newExchange;
    Runnable handle = () -> handle(head, body, newExchange);
    if (loop.unreadMs() > RECHECK_AFTER_MS) {
      loop.schedule(0, handle);
    } else {
      loop.execute(handle);
    }
  }

  private void handle(HttpHead head, byte[] body, HttpExchange newExchange) {
    if (connection.isClosed()) {
      return;
    }
    if (drainState.rejectsRequest(stateChangedAt)) {
      rejectAndClose(503, "clients are being sent away");
      return;
    }
    if (!exchangeMemory.reserveRequest(body.length)) {
      newExchange.reply(
          server.handler().errorResponse(429, "requests in progress occupy too much memory"));
      return;
    }
    try {
      double unread = loop.now() - arrivedAt;
      server
          .handler()
          .handle(new HttpServer.Request(head, body, unread, loop.worstLagMs()), newExchange);
    } catch (RuntimeException | Error failure) {
      // Supervised boundary: a request whose handler fails still gets a response.
      LOG.log(Level.ERROR, "Handling a request failed", failure);
      newExchange.reply(server.handler().errorResponse(500, "failed"));
    }
  }

  /**
   * Writes a response. The connection stays open afterwards if {@code keepAlive} is set and the
   * server keeps connections open.
   */
  void send(HttpServer.Response response, boolean keepAlive) {
    boolean staysOpen = keepAlive && server.keepsConnections();
    List<ByteBuffer> buffers = HttpResponseEncoder.encode(response, staysOpen);
    int last = buffers.size() - 1;
    buffers.subList(0, last).forEach(bytes -> connection.write(bytes, () -> {}));
    connection.write(buffers.get(last), () -> responseWritten(staysOpen));
    exchangeMemory.requestAnswered();
    if (!staysOpen) {
      closing = true;
      connection.closeGracefully();
    }
    recordHeldBytes();
  }

  private void responseWritten(boolean staysOpen) {
    exchange = null;
    stateChangedAt = loop.now();
    if (staysOpen && (pipeline.size() > 0 || pipelineOverflowed)) {
      turns.startNext(this::resumePipelined);
    }
    recordHeldBytes();
    if (staysOpen) {
      server.acceptIfCapacity();
    }
  }

  @Override
  public void closed() {
    pipeline.clear();
    aggregator.discard();
    parser.discard();
    memoryBudget.record(this, 0);
    exchangeMemory.requestAnswered();
    if (exchange != null) {
      exchange.clientDisconnected();
    }
    server.sessionEnded(this);
  }
}
