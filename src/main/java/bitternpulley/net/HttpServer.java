package bitternpulley.net;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** Listens for HTTP/1.1 and hands whole requests to a handler, one at a time from each connection. */
public final class HttpServer {
  private static final System.Logger LOG = System.getLogger(HttpServer.class.getName());
  private static final int BACKLOG = 512;
  /** Bytes that a client may send ahead of the answer to its last request. */
  private static final int MOST_AHEAD = 16 * 1024;
  /** Ms that a client usually gets to send a request, once it has begun. */
  public static final double REQUEST_TIME = 10_000;
  /** Ms until accepting is tried again after it failed, as it does when descriptors run out. */
  private static final double ACCEPT_PAUSE = 50;

  /** A whole request. */
  public record Request(HttpHead head, byte[] body) {}

  /** Answers requests; every call comes on the loop's thread. */
  public interface Handler {
    void handle(Request request, Exchange exchange);

    /** What an unusable message is told, in the handler's own dialect. */
    Response unusable(int status, String reason);
  }

  /** An answer; header names as they are to be written. */
  public record Response(int status, Map<String, String> headers, byte[] body) {}

  /** One request's way back to its client. */
  public interface Exchange {
    /** Answers; a second answer is ignored. */
    void reply(Response response);

    /** What is to run should the client leave before it is answered. */
    void onGone(Runnable gone);
  }

  private final EventLoop loop;
  private final Handler handler;
  private final int mostBody;
  private final int mostConnections;
  private final double requestTime;
  private final Set<Session> sessions = new LinkedHashSet<>();
  private AsynchronousServerSocketChannel listener;
  private boolean accepting;
  private boolean draining;

  /** A server that holds so many connections, each of which may take {@code requestTime} ms over a request. */
  public HttpServer(EventLoop loop, int mostBody, int mostConnections, double requestTime, Handler handler) {
    this.loop = loop;
    this.mostBody = mostBody;
    this.mostConnections = mostConnections;
    this.requestTime = requestTime;
    this.handler = handler;
  }

  /** Begins to listen; the address that was bound is returned. */
  public HostPort listen(HostPort at) throws IOException {
    listener = AsynchronousServerSocketChannel.open(loop.group()).bind(at.address(), BACKLOG);
    accept();
    return new HostPort(at.host(), ((java.net.InetSocketAddress) listener.getLocalAddress()).getPort());
  }

  private void accept() {
    if (accepting || !listener.isOpen() || !room()) {
      return;
    }
    accepting = true;
    listener.accept(null, new CompletionHandler<AsynchronousSocketChannel, Void>() {
      @Override
      public void completed(AsynchronousSocketChannel channel, Void nothing) {
        loop.inTurn(() -> {
          accepting = false;
          Session session = new Session(channel);
          sessions.add(session);
          session.connection.start(session);
          accept();
        });
      }

      @Override
      public void failed(Throwable e, Void nothing) {
        loop.inTurn(() -> {
          accepting = false;
          if (listener.isOpen()) {
            LOG.log(Level.WARNING, "accept failed: " + e);
            loop.after(ACCEPT_PAUSE, HttpServer.this::accept);
          }
        });
      }
    });
  }

  /** Guards against running out of descriptors: the longest idle connection makes room, else accepting waits. */
  private boolean room() {
    if (sessions.size() < mostConnections) {
      return true;
    }
    for (Session s : sessions) {
      if (s.idle()) {
        s.connection.close();
        return true;
      }
    }
    return false;
  }

  /** From now on each answer ends its connection. */
  public void drain() {
    draining = true;
  }

  /** Takes no more connections and ends those that are idle; the others end with their answers. */
  public void stopListening() {
    try {
      listener.close();
    } catch (IOException e) {
      LOG.log(Level.DEBUG, "closing the listener failed", e);
    }
    for (Session s : Set.copyOf(sessions)) {
      if (s.idle()) {
        s.connection.closeAfterWrites();
      }
    }
  }

  /** Connections that are open. */
  public int open() {
    return sessions.size();
  }

  private final class Session implements Connection.Owner {
    private final Connection connection;
    private final HttpParser parser = new HttpParser(false, mostBody, new WholeMessages(this::begun, this::whole));
    private ByteBuffer ahead = ByteBuffer.allocate(0);
    private Call call;
    private boolean broken;
    private int count;

    Session(AsynchronousSocketChannel channel) {
      connection = new Connection(loop, channel);
    }

    boolean idle() {
      return call == null && parser.idle();
    }

    @Override
    public void received(ByteBuffer bytes) {
      if (broken) {
        return;
      }
      // Guards against a request that waits for good behind one answered at once: what is ahead is only kept
      // while a call is under way, whose end takes it up.
      while (call == null && bytes.hasRemaining() && !broken) {
        parse(bytes);
      }
      if (bytes.hasRemaining() && !broken) {
        keep(bytes);
      }
    }

    private void parse(ByteBuffer bytes) {
      boolean begins = parser.idle();
      try {
        if (!parser.read(bytes) && begins && !parser.idle()) {
          awaitRest(count);
        }
      } catch (HttpException e) {
        broken = true;
        send(handler.unusable(e.status(), e.getMessage()), false);
      }
    }

    /** Guards against requests that are begun and never end, each of which would hold a descriptor for good. */
    private void awaitRest(int before) {
      loop.after(requestTime, () -> {
        if (count == before && !broken) {
          broken = true;
          send(handler.unusable(408, "the request did not end in time"), false);
        }
      });
    }

    /** What a client sends ahead waits here, up to a bound. */
    private void keep(ByteBuffer bytes) {
      if (ahead.remaining() + bytes.remaining() > MOST_AHEAD) {
        connection.close();
        return;
      }
      ByteBuffer joined = ByteBuffer.allocate(ahead.remaining() + bytes.remaining());
      ahead = joined.put(ahead).put(bytes).flip();
    }

    private void begun(HttpHead head) {
      if ("100-continue".equalsIgnoreCase(head.header("expect"))) {
        connection.write(ascii("HTTP/1.1 100 Continue\r\n\r\n"), () -> { });
      }
    }

    private void whole(HttpHead head, byte[] body) {
      // Least recently used first: an idle connection that must make room is the one longest unused.
      sessions.remove(this);
      sessions.add(this);
      count++;
      call = new Call(this, head.keepAlive());
      try {
        handler.handle(new Request(head, body), call);
      } catch (RuntimeException e) {
        // Guards against a request that is lost because dealing with it failed.
        LOG.log(Level.ERROR, "a request could not be dealt with", e);
        call.reply(handler.unusable(500, "failed"));
      }
    }

    private void send(Response r, boolean keep) {
      boolean stays = keep && !draining;
      StringBuilder text = new StringBuilder("HTTP/1.1 ").append(r.status()).append(' ').append(reason(r.status()));
      r.headers().forEach((name, value) -> text.append("\r\n").append(name).append(": ").append(value));
      text.append("\r\nContent-Length: ").append(r.body().length);
      text.append(stays ? "\r\n\r\n" : "\r\nConnection: close\r\n\r\n");
      ByteBuffer first = ascii(text.toString());
      ByteBuffer all = ByteBuffer.allocate(first.remaining() + r.body().length).put(first).put(r.body()).flip();
      connection.write(all, () -> {
        call = null;
        if (ahead.hasRemaining() && stays) {
          ByteBuffer next = ahead;
          ahead = ByteBuffer.allocate(0);
          received(next);
        }
        accept();
      });
      if (!stays) {
        broken = true;
        connection.closeAfterWrites();
      }
    }

    @Override
    public void closed() {
      sessions.remove(this);
      if (call != null && !call.replied && call.gone != null) {
        call.gone.run();
      }
      accept();
    }
  }

  private static final class Call implements Exchange {
    private final Session session;
    private final boolean keep;
    private Runnable gone;
    private boolean replied;

    Call(Session session, boolean keep) {
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
  }

  static ByteBuffer ascii(String text) {
    return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static String reason(int status) {
    return switch (status) {
      case 200 -> "OK";
      case 400 -> "Bad Request";
      case 404 -> "Not Found";
      case 405 -> "Method Not Allowed";
      case 408 -> "Request Timeout";
      case 413 -> "Content Too Large";
      case 429 -> "Too Many Requests";
      case 431 -> "Request Header Fields Too Large";
      case 500 -> "Internal Server Error";
      case 503 -> "Service Unavailable";
      case 504 -> "Gateway Timeout";
      default -> "Status";
    };
  }
}
