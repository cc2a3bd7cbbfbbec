package bitternpulley.net;

import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Sends HTTP/1.1 requests, one at a time on a connection, over a bounded number of kept
 * connections.
 */
public final class HttpClient {
  /** How a call ended without a response. */
  public enum Broken {
    NEVER_SENT,
    NOT_IN_TIME,
    MAYBE_SENT
  }

  /** A whole response. */
  public record Response(HttpHead head, byte[] body) {
    public int status() {
      return head.status();
    }
  }

  /** Told once how a call ended; not at all when the call was dropped. */
  public interface Done {
    void response(Response response);

    void broken(Broken how, String why);
  }

  private final EventLoop loop;
  private final int maxBodyBytes;
  private final int maxConnections;
  private final double connectTimeout;
  private final double idleTimeout;
  private final Map<HostPort, ArrayDeque<PooledConnection>> idleConnections = new HashMap<>();
  private int openConnections;

  public HttpClient(
      EventLoop loop, int mostBody, int mostOpen, double connectTimeout, double idleAfter) {
    this.loop = loop;
    this.maxBodyBytes = mostBody;
    this.maxConnections = mostOpen;
    this.connectTimeout = connectTimeout;
    this.idleTimeout = idleAfter;
  }

  /** A call under way; dropping it closes its connection, so that the server may stop. */
  public interface Call {
    void drop();

    /** Whether a byte of it may have gone. */
    boolean begun();
  }

  /**
   * Sends a request, whose bytes are its head and body; null where no more connections may be open.
   */
  public Call send(HostPort address, ByteBuffer request, Done done) {
    return send(address, request, Double.POSITIVE_INFINITY, done);
  }

  /** As above, unless its connection comes up only after {@code sendBy}: then it ends unsent. */
  public Call send(HostPort address, ByteBuffer request, double sendBy, Done done) {
    ArrayDeque<PooledConnection> idle = idleConnections.get(address);
    PooledConnection link = idle == null ? null : idle.pollLast();
    if (link == null) {
      if (openConnections >= maxConnections) {
        return null;
      }
      try {
        link = new PooledConnection(address);
      } catch (UncheckedIOException e) {
        // Guards against a call that never ends because not even a socket could be had for it.
        return null;
      }
    }
    link.begin(request, sendBy, done);
    return link;
  }

  /** Closes the idle connections to an address. */
  public void closeIdle(HostPort address) {
    ArrayDeque<PooledConnection> idle = idleConnections.remove(address);
    if (idle != null) {
      idle.forEach(l -> l.connection.close());
    }
  }

  private final class PooledConnection implements Connection.Owner, Call {
    private final HostPort address;
    private final HttpParser parser =
        new HttpParser(true, maxBodyBytes, new HttpMessageAggregator(head -> {}, this::onMessage));
    private final Connection connection;
    private ByteBuffer request;
    private double sendBy;
    private Done done;
    private boolean connected;
    private boolean written;
    private int useCount;
    private Response response;
    private boolean keepAlive;

    PooledConnection(HostPort to) {
      this.address = to;
      connection =
          Connection.open(
              loop,
              to,
              connectTimeout,
              this,
              () -> {
                connected = true;
                write();
              });
      openConnections++;
    }

    void begin(ByteBuffer bytes, double sendBy, Done done) {
      useCount++;
      this.sendBy = sendBy;
      request = bytes;
      written = false;
      this.done = done;
      if (connected) {
        write();
      }
    }

    private void write() {
      if (request != null && loop.now() > sendBy) {
        endWithout(Broken.NOT_IN_TIME, "there was no connection in time");
        connection.close();
      } else if (request != null) {
        connection.write(request, () -> written = true);
      }
    }

    @Override
    public boolean begun() {
      return connected;
    }

    @Override
    public void drop() {
      done = null;
      request = null;
      connection.close();
    }

    @Override
    public void received(ByteBuffer bytes) {
      try {
        if (done == null) {
          connection.close(); // nothing was asked
        } else if (parser.read(bytes) && response != null) {
          complete(bytes.hasRemaining());
        }
      } catch (HttpException e) {
        fail(e.getMessage());
        connection.close();
      }
    }

    private void onMessage(HttpHead head, byte[] body) {
      if (head.status() >= 200) {
        response = new Response(head, body);
        keepAlive = head.keepAlive();
      }
    }

    /**
     * Guards against the next call going over a connection on which something stands behind the
     * answer: that is good, but what else comes here cannot be told apart.
     */
    private void complete(boolean more) {
      Response received = response;
      Done receiver = done;
      response = null;
      done = null;
      request = null;
      if (keepAlive && !more && !connection.isClosed()) {
        idleConnections.computeIfAbsent(address, t -> new ArrayDeque<>()).addLast(this);
        int before = useCount;
        loop.after(
            idleTimeout,
            () -> {
              if (useCount == before) {
                connection.close();
              }
            });
      } else {
        connection.close();
      }
      receiver.response(received);
    }

    private void fail(String why) {
      endWithout(written ? Broken.MAYBE_SENT : Broken.NEVER_SENT, why);
    }

    private void endWithout(Broken how, String why) {
      Done receiver = done;
      done = null;
      if (receiver != null) {
        receiver.broken(how, why);
      }
    }

    @Override
    public void closed() {
      openConnections--;
      ArrayDeque<PooledConnection> idle = idleConnections.get(address);
      if (idle != null) {
        idle.remove(this);
        if (idle.isEmpty()) {
          idleConnections.remove(address);
        }
      }
      // Guards against a body without a length that was cut off and is taken for whole.
      if (done != null && connection.isEndedByPeer() && parser.ended() && response != null) {
        complete(true);
      } else {
        fail("the connection broke");
      }
    }
  }
}
