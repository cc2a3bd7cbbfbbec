package bitternpulley.net;

import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Sends HTTP/1.1 requests over a bounded pool of connections, with one request at a time on each
 * connection.
 */
public final class HttpClient {
  /** Why a call ended without a response. */
  public enum Failure {
    /** No byte of the request was sent. */
    NEVER_SENT,
    /** No byte of the request was sent, because no connection was established in time. */
    NOT_IN_TIME,
    /** The server may have received the request. */
    MAYBE_SENT
  }

  /** What a response shows about the request that it belongs to. */
  public enum ResponseMatch {
    /** It names the request, so whatever follows it cannot be taken for it. */
    CONFIRMED,
    /** It names no request. */
    UNKNOWN,
    /** It names another request. */
    OTHER_REQUEST
  }

  /** Finds out which request a response belongs to. */
  public interface ResponseMatcher {
    /** Trusts the server to send exactly one response to each request, in order. */
    ResponseMatcher IN_ORDER = head -> ResponseMatch.CONFIRMED;

    /** Returns what the head of a response shows. */
    ResponseMatch match(HttpHead head);
  }

  /**
   * A request.
   *
   * @param bytes its head and body
   * @param sendBy ms of the loop's clock after which it is not sent any more
   * @param matcher decides whether a response belongs to this request
   */
  public record Request(ByteBuffer bytes, double sendBy, ResponseMatcher matcher) {}

  /**
   * A complete response.
   *
   * @param head its start line and headers
   * @param body its body, empty when there is none
   */
  @SuppressWarnings("ArrayRecordComponent") // Responses are never compared, and a copy would cost.
  public record Response(HttpHead head, byte[] body) {
    /** Returns the status code. */
    public int status() {
      return head.status();
    }
  }

  /** Receives the outcome of a call, once; never called for a cancelled call. */
  public interface ResponseHandler {
    /** Handles a change of the heap that the incomplete response occupies, in bytes. */
    default void receiving(int heldBytes) {}

    /** Handles the response. */
    void response(Response response);

    /** Handles the end of a call without a response. */
    void failed(Failure failure, String reason);
  }

  /** A call in progress. */
  public interface Call {
    /** Cancels the call and closes its connection, so that the server can stop working on it. */
    void cancel();

    /** Returns whether some bytes of the request may have been sent. */
    boolean mayHaveBeenSent();
  }

  private final EventLoop loop;
  private final int maxBodyBytes;
  private final int maxConnections;
  private final double connectTimeout;
  private final double idleTimeout;
  private final Map<HostPort, ArrayDeque<PooledConnection>> idleConnections = new HashMap<>();
  private int openConnections;

  /**
   * Creates a client.
   *
   * @param loop runs its callbacks
   * @param maxBodyBytes limit of the body of a response
   * @param maxConnections limit of open connections to all addresses together
   * @param connectTimeout time in ms to establish a connection
   * @param idleTimeout ms after which an unused connection is closed
   */
  public HttpClient(
      EventLoop loop,
      int maxBodyBytes,
      int maxConnections,
      double connectTimeout,
      double idleTimeout) {
    this.loop = loop;
    this.maxBodyBytes = maxBodyBytes;
    this.maxConnections = maxConnections;
    this.connectTimeout = connectTimeout;
    this.idleTimeout = idleTimeout;
  }

  /**
   * Sends a request, unless its connection is established only after its time: then the call fails
   * without sending it. Returns null when no more connections can be opened.
   *
   * <p>A connection is used again only after a response that is confirmed to belong to its request.
   * Otherwise a late second copy of a response could be taken for the response to the next request.
   */
  public Call send(HostPort address, Request request, ResponseHandler handler) {
    ArrayDeque<PooledConnection> idle = idleConnections.get(address);
    PooledConnection connection = idle == null ? null : idle.pollLast();
    if (connection == null) {
      connection = connect(address);
    }
    if (connection != null) {
      connection.begin(request, handler);
    }
    return connection;
  }

  private PooledConnection connect(HostPort address) {
    if (openConnections >= maxConnections) {
      return null;
    }
    try {
      PooledConnection connection =
          new PooledConnection(this, loop, address, maxBodyBytes, connectTimeout);
      openConnections++;
      return connection;
    } catch (UncheckedIOException exception) {
      // Without a socket, there is no connection that could report the failure.
      return null;
    }
  }

  /** Closes the idle connections to an address. */
  public void closeIdle(HostPort address) {
    ArrayDeque<PooledConnection> idle = idleConnections.remove(address);
    if (idle != null) {
      idle.forEach(PooledConnection::close);
    }
  }

  /** Keeps a connection for the next request to its address, until the idle time-out. */
  void release(PooledConnection connection) {
    idleConnections
        .computeIfAbsent(connection.address(), address -> new ArrayDeque<>())
        .addLast(connection);
    int useCount = connection.useCount();
    loop.schedule(
        idleTimeout,
        () -> {
          if (connection.useCount() == useCount) {
            connection.close();
          }
        });
  }

  /** Removes a connection that has ended. */
  void remove(PooledConnection connection) {
    openConnections--;
    ArrayDeque<PooledConnection> idle = idleConnections.get(connection.address());
    if (idle != null) {
      idle.remove(connection);
      if (idle.isEmpty()) {
        idleConnections.remove(connection.address());
      }
    }
  }
}
