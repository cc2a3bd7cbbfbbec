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
  private final int mostBody;
  private final int mostOpen;
  private final double connectTimeout;
  private final double idleAfter;
  private final Map<HostPort, ArrayDeque<Link>> idle = new HashMap<>();
  private int open;

  public HttpClient(
      EventLoop loop, int mostBody, int mostOpen, double connectTimeout, double idleAfter) {
    this.loop = loop;
    this.mostBody = mostBody;
    this.mostOpen = mostOpen;
    this.connectTimeout = connectTimeout;
    this.idleAfter = idleAfter;
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
  public Call send(HostPort to, ByteBuffer request, Done done) {
    return send(to, request, Double.POSITIVE_INFINITY, done);
  }

  /** As above, unless its connection comes up only after {@code sendBy}: then it ends unsent. */
  public Call send(HostPort to, ByteBuffer request, double sendBy, Done done) {
    ArrayDeque<Link> kept = idle.get(to);
    Link link = kept == null ? null : kept.pollLast();
    if (link == null) {
      if (open >= mostOpen) {
        return null;
      }
      try {
        link = new Link(to);
      } catch (UncheckedIOException e) {
        // Guards against a call that never ends because not even a socket could be had for it.
        return null;
      }
    }
    link.begin(request, sendBy, done);
    return link;
  }

  /** Closes the idle connections to an address. */
  public void closeIdle(HostPort to) {
    ArrayDeque<Link> kept = idle.remove(to);
    if (kept != null) {
      kept.forEach(l -> l.connection.close());
    }
  }

  private final class Link implements Connection.Owner, Call {
    private final HostPort to;
    private final HttpParser parser =
        new HttpParser(true, mostBody, new WholeMessages(head -> {}, this::whole));
    private final Connection connection;
    private ByteBuffer request;
    private double sendBy;
    private Done done;
    private boolean up;
    private boolean written;
    private int uses;
    private Response answer;
    private boolean keeps;

    Link(HostPort to) {
      this.to = to;
      connection =
          Connection.open(
              loop,
              to,
              connectTimeout,
              this,
              () -> {
                up = true;
                write();
              });
      open++;
    }

    void begin(ByteBuffer bytes, double sendBy, Done done) {
      uses++;
      this.sendBy = sendBy;
      request = bytes;
      written = false;
      this.done = done;
      if (up) {
        write();
      }
    }

    private void write() {
      if (request != null && loop.now() > sendBy) {
        end(Broken.NOT_IN_TIME, "there was no connection in time");
        connection.close();
      } else if (request != null) {
        connection.write(request, () -> written = true);
      }
    }

    @Override
    public boolean begun() {
      return up;
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
        } else if (parser.read(bytes) && answer != null) {
          answered(bytes.hasRemaining());
        }
      } catch (HttpException e) {
        broken(e.getMessage());
        connection.close();
      }
    }

    private void whole(HttpHead head, byte[] body) {
      if (head.status() >= 200) {
        answer = new Response(head, body);
        keeps = head.keepAlive();
      }
    }

    /**
     * Guards against the next call going over a connection on which something stands behind the
     * answer: that is good, but what else comes here cannot be told apart.
     */
    private void answered(boolean more) {
      Response response = answer;
      Done told = done;
      answer = null;
      done = null;
      request = null;
      if (keeps && !more && !connection.isClosed()) {
        idle.computeIfAbsent(to, t -> new ArrayDeque<>()).addLast(this);
        int before = uses;
        loop.after(
            idleAfter,
            () -> {
              if (uses == before) {
                connection.close();
              }
            });
      } else {
        connection.close();
      }
      told.response(response);
    }

    private void broken(String why) {
      end(written ? Broken.MAYBE_SENT : Broken.NEVER_SENT, why);
    }

    private void end(Broken how, String why) {
      Done told = done;
      done = null;
      if (told != null) {
        told.broken(how, why);
      }
    }

    @Override
    public void closed() {
      open--;
      ArrayDeque<Link> kept = idle.get(to);
      if (kept != null) {
        kept.remove(this);
        if (kept.isEmpty()) {
          idle.remove(to);
        }
      }
      // Guards against a body without a length that was cut off and is taken for whole.
      if (done != null && connection.endedByPeer() && parser.ended() && answer != null) {
        answered(true);
      } else {
        broken("the connection broke");
      }
    }
  }
}
