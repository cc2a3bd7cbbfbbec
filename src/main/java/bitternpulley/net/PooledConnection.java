package bitternpulley.net;

import java.nio.ByteBuffer;

/** One connection of an {@link HttpClient}, with at most one call at a time. */
final class PooledConnection implements Connection.Owner, HttpClient.Call {
  /** Responses below this status are interim; the final one follows. */
  private static final int MIN_FINAL_STATUS = 200;

  private final HttpClient client;
  private final EventLoop loop;
  private final HostPort address;
  private final HttpParser parser;
  private final Connection connection;
  private ByteBuffer request;
  private double sendBy;
  private HttpClient.ResponseHandler handler;
  private boolean connected;
  private boolean written;
  private int useCount;
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
    parser =
        new HttpParser(true, maxBodyBytes, new HttpMessageAggregator(head -> {}, this::onMessage));
    connection = Connection.open(loop, address, connectTimeout, this, this::onConnected);
  }

  private void onConnected() {
    connected = true;
    write();
  }

  /** Starts a call; its request is written as soon as the connection is established. */
  void begin(ByteBuffer newRequest, double newSendBy, HttpClient.ResponseHandler newHandler) {
    useCount++;
    sendBy = newSendBy;
    request = newRequest;
    written = false;
    handler = newHandler;
    if (connected) {
      write();
    }
  }

  private void write() {
    if (request != null && loop.now() > sendBy) {
      failWith(HttpClient.Failure.NOT_IN_TIME, "there was no connection in time");
      connection.close();
    } else if (request != null) {
      connection.write(request, () -> written = true);
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
      }
    } catch (HttpException exception) {
      fail(exception.getMessage());
      connection.close();
    }
  }

  private void onMessage(HttpHead head, byte[] body) {
    if (head.status() >= MIN_FINAL_STATUS) {
      response = new HttpClient.Response(head, body);
      keepAlive = head.keepAlive();
    }
  }

  /**
   * Passes on the response. When more bytes follow it, the response is valid, but later bytes could
   * not be assigned to a request, so the connection is closed.
   */
  private void complete(boolean hasMoreBytes) {
    HttpClient.Response received = response;
    HttpClient.ResponseHandler completedHandler = handler;
    response = null;
    handler = null;
    request = null;
    if (keepAlive && !hasMoreBytes && !connection.isClosed()) {
      client.release(this);
    } else {
      connection.close();
    }
    completedHandler.response(received);
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
