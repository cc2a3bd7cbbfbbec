package bitternpulley.net;

import java.nio.ByteBuffer;

/** One connection of an {@link HttpClient}, with at most one call at a time. */
final class PooledConnection implements Connection.Owner, HttpClient.Call {
  /** Responses below this status are interim; the final one follows. */
  private static final int MIN_FINAL_STATUS = 200;

  private final HttpClient client;
  private final EventLoop loop;
  private final HostPort address;
  private final HttpMessageAggregator aggregator =
      new HttpMessageAggregator(head -> {}, this::onMessage);
  private final HttpParser parser;
  private final Connection connection;
  private HttpClient.Request request;
  private HttpClient.ResponseHandler handler;
  private boolean connected;
  private boolean written;
  private int useCount;

  /** The heap that the incomplete response was last reported to occupy, in bytes. */
  private int reportedBytes;

  private HttpClient.Response response;
  private boolean keepAlive;

  /** Starts to connect, which may take {@code connectTimeout} ms. */
  PooledConnection(
      HttpClient client,
      EventLoop loop,
      HostPort address,
      int maxBodyBytes,
      double connectTimeout) {
    this.client = client;
    this.loop = loop;
    this.address = address;
    parser = new HttpParser(true, maxBodyBytes, aggregator);
    connection = Connection.open(loop, address, connectTimeout, this, this::onConnected);
  }

  private void onConnected() {
    connected = true;
    write();
  }

  /** Starts a call; its request is written as soon as the connection is established. */
  void begin(HttpClient.Request newRequest, HttpClient.ResponseHandler newHandler) {
    useCount++;
    reportedBytes = 0;
    request = newRequest;
    written = false;
    handler = newHandler;
    if (connected) {
      write();
    }
  }

  private void write() {
    if (request != null && loop.now() > request.sendBy()) {
      failWith(HttpClient.Failure.NOT_IN_TIME, "there was no connection in time");
      connection.close();
    } else if (request != null) {
      connection.write(request.bytes(), () -> written = true);
    }
  }

  HostPort address() {
    return address;
  }

  /** Returns the number of calls that were started on this connection. */
  int useCount() {
    return useCount;
  }

  void close() {
    connection.close();
  }

  @Override
  public boolean mayHaveBeenSent() {
    return connected;
  }

  @Override
  public void cancel() {
    handler = null;
    request = null;
    connection.close();
  }

  @Override
  public void received(ByteBuffer bytes) {
    try {
      if (handler == null) {
        connection.close(); // no request is in progress
      } else if (parser.read(bytes) && response != null) {
        complete(bytes.hasRemaining());
      } else {
        reportHeldBytes();
      }
    } catch (HttpException exception) {
      fail(exception.getMessage());
      connection.close();
    }
  }

  private void reportHeldBytes() {
    int heldBytes = aggregator.heldBytes();
    if (heldBytes != reportedBytes) {
      reportedBytes = heldBytes;
      handler.receiving(heldBytes);
    }
  }

  private void onMessage(HttpHead head, byte[] body) {
    if (head.status() >= MIN_FINAL_STATUS) {
      response = new HttpClient.Response(head, body);
      keepAlive = head.keepAlive();
    }
  }

  /**
   * Passes on the response, unless it belongs to another request. When more bytes follow it, or
   * when it is not confirmed to belong to the request, later bytes could not be assigned to a
   * request, so the connection is closed.
   */
  private void complete(boolean hasMoreBytes) {
    HttpClient.ResponseMatch match = request.matcher().match(response.head());
    if (belongsToAnotherRequest(match)) {
      fail("the response belongs to another request");
      connection.close();
      return;
    }
    HttpClient.Response received = response;
    HttpClient.ResponseHandler completedHandler = handler;
    response = null;
    handler = null;
    request = null;
    boolean isConfirmed = match == HttpClient.ResponseMatch.CONFIRMED;
    if (isConfirmed && keepAlive && !hasMoreBytes && !connection.isClosed()) {
      client.release(this);
    } else {
      connection.close();
    }
    completedHandler.response(received);
  }

  /**
   * Returns whether a response does not answer the current request. A server whose earlier
   * responses on this connection named their requests is expected to name this one as well.
   */
  private boolean belongsToAnotherRequest(HttpClient.ResponseMatch match) {
    return match == HttpClient.ResponseMatch.OTHER_REQUEST
        || (match == HttpClient.ResponseMatch.UNKNOWN && useCount > 1);
  }

  private void fail(String reason) {
    failWith(written ? HttpClient.Failure.MAYBE_SENT : HttpClient.Failure.NEVER_SENT, reason);
  }

  private void failWith(HttpClient.Failure failure, String reason) {
    HttpClient.ResponseHandler completedHandler = handler;
    handler = null;
    if (completedHandler != null) {
      completedHandler.failed(failure, reason);
    }
  }

  @Override
  public void closed() {
    client.remove(this);
    // A body without a length is complete only after an orderly close by the server.
    if (handler != null
        && connection.isEndedByPeer()
        && parser.handleEndOfConnection()
        && response != null) {
      complete(true);
    } else {
      fail("the connection broke");
    }
  }
}
