package bitternpulley.net;

import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Sends HTTP/1.1 requests over a pool of a bounded number of connections, one request at a time on
 * each.
 */
public final class HttpClient {
  /** How a call ended without a response. */
  public enum Failure {
    /** No byte of the request was sent. */
    NEVER_SENT,
    /** No byte of the request was sent, because the connection was not up in time. */
    NOT_IN_TIME,
    /** The server may have received the request. */
    MAYBE_SENT
  }

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

  /** Receives the end of a call, once; a call that was dropped has none. */
  public interface ResponseHandler {
    /** Handles the response. */
    void response(Response response);

    /** Handles the end of a call without a response. */
    void failed(Failure how, String why);
  }

  /** A call in progress. */
  public interface Call {
    /** Drops the call and closes its connection, so that the server may stop working on it. */
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
   * @param connectTimeout ms for a connection to come up
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
   * Sends a request, given as the bytes of its head and body; returns null when no more connections
   * may be opened.
   */
  public Call send(HostPort address, ByteBuffer request, ResponseHandler done) {
    return send(address, request, Double.POSITIVE_INFINITY, done);
  }

  /**
   * Sends a request like {@link #send(HostPort, ByteBuffer, ResponseHandler)}, unless its
   * connection comes up only after {@code sendBy}, in ms of the loop's clock: then the call ends
   * unsent.
   */
  public Call send(HostPort address, ByteBuffer request, double sendBy, ResponseHandler done) {
    ArrayDeque<PooledConnection> idle = idleConnections.get(address);
    PooledConnection connection = idle == null ? null : idle.pollLast();
    if (connection == null) {
      connection = connect(address);
    }
    if (connection != null) {
      connection.begin(request, sendBy, done);
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
      // Without a socket there is no connection that could report the end of the call.
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
