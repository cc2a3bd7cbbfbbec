package bitternpulley.platform;

import bitternpulley.config.ConfigurationException;
import bitternpulley.config.EndpointList;
import bitternpulley.config.StrictJson;
import bitternpulley.net.Connection;
import bitternpulley.net.EventLoop;
import bitternpulley.net.HostPort;
import bitternpulley.net.HttpException;
import bitternpulley.net.HttpHead;
import bitternpulley.net.HttpParser;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Watches discovery: one chunked answer that stays open, taken up again from the last revision when
 * it ends. One that falls silent is heard on until a fresh one speaks, whichever of the two does so
 * first.
 */
public final class Discovery {
  private static final System.Logger LOG = System.getLogger(Discovery.class.getName());
  private static final double CONNECT_TIMEOUT = 500;

  /**
   * Ms until a watch that has ended is taken up again, at first and at most. Guards against servers
   * that drain as discovery returns: 250 ms after that, nothing may go to them.
   */
  private static final double GAP = 50;

  private static final double GAP_MOST = 250;

  /**
   * Share of a wait that chance takes off: guards against a herd of aggregators that ask again in
   * step.
   */
  private static final double JITTER = 0.5;

  /**
   * Ms without a whole object or an empty line after which a fresh watch is opened: a line comes
   * every 2 s. Guards against all that counts as told 6 s after the last line, also by a watch that
   * brings bytes and never a whole one: three tries fit.
   */
  private static final double SILENCE = 3000;

  /** The same for a watch that has not answered yet, which an agent does at once. */
  private static final double HEAD_TIME = 1000;

  /**
   * Ms from its coming up within which a watch that is answered must say its first word: a line
   * comes every 2 s. Guards against one that is answered and says nothing while what the one before
   * has missed comes to count as told.
   */
  private static final double FIRST_WORD = 2200;

  private final EventLoop loop;
  private HostPort at;
  private final List<String> zones;
  private final Consumer<EndpointList> told;
  private long revision;
  private double gap = GAP;

  /** Messages that could not be used; none of them changed anything. */
  private long unusable;

  private final Random random = new Random();
  private Watch current;

  /**
   * A watch that spoke once, heard until the current one speaks: silent since, or at the address
   * before. May be null.
   */
  private Watch leaving;

  public Discovery(
      EventLoop loop, HostPort at, List<String> zones, long revision, Consumer<EndpointList> told) {
    this.loop = loop;
    this.at = at;
    this.zones = zones;
    this.revision = revision;
    this.told = told;
  }

  /** Begins to watch, for good. */
  public void start() {
    current = new Watch();
    current.open();
  }

  /**
   * Watches at another address from now on, from the revision reached; the old one is heard till
   * the new one speaks.
   */
  public void moveTo(HostPort to) {
    if (to.equals(at)) {
      return;
    }
    LOG.log(Level.INFO, "discovery moves from " + at + " to " + to);
    at = to;
    gap = GAP;
    replace();
  }

  /** A fresh watch; of those before it, the one that spoke last is heard on. */
  private void replace() {
    Watch before = current;
    if (before.spoke && leaving != null) {
      leaving.close();
    }
    leaving = before.spoke ? before : leaving;
    start();
    if (!before.spoke) {
      before.close();
    }
  }

  private final class Watch implements Connection.Owner, HttpParser.Sink, JsonObjectStream.Sink {
    private final HttpParser parser = new HttpParser(true, Long.MAX_VALUE, this);
    private final JsonObjectStream texts = new JsonObjectStream(this);
    private Connection connection;
    private boolean answered;
    private boolean spoke;
    private double upAt;
    private double lastSign;

    void open() {
      if (this != current) {
        return; // moved while it waited for its turn
      }
      try {
        connection = Connection.open(loop, at, CONNECT_TIMEOUT, this, this::ask);
      } catch (UncheckedIOException e) {
        // Guards against a watch that is never taken up again because not even a socket could be
        // had for it.
        LOG.log(Level.WARNING, "no socket for discovery: " + e.getMessage());
        closed();
      }
    }

    private void ask() {
      String get =
          "GET /api/targets?watch=1&from=" + revision + " HTTP/1.1\r\nHost: " + at + "\r\n\r\n";
      connection.write(ByteBuffer.wrap(get.getBytes(StandardCharsets.US_ASCII)), () -> {});
      upAt = loop.now();
      lastSign = upAt;
      look();
    }

    /** Until when the next sign of life must have come. */
    private double due() {
      return spoke ? lastSign + SILENCE : answered ? upAt + FIRST_WORD : upAt + HEAD_TIME;
    }

    /** Looks whether a sign of life came within the time for one. */
    private void look() {
      loop.after(
          due() - loop.now(),
          () -> {
            if (this != current || connection.isClosed()) {
              return;
            }
            if (loop.now() < due()) {
              look();
            } else if (spoke) {
              LOG.log(Level.INFO, "discovery at " + at + " has fallen silent");
              replace();
            } else {
              connection.close();
            }
          });
    }

    void close() {
      if (connection != null) {
        connection.close();
      }
    }

    @Override
    public void received(ByteBuffer bytes) {
      try {
        parser.read(bytes);
      } catch (HttpException | ConfigurationException | UncheckedIOException e) {
        LOG.log(
            Level.WARNING,
            "discovery sent what cannot be used, "
                + ++unusable
                + " times so far: "
                + e.getMessage());
        connection.close();
      }
    }

    @Override
    public void head(HttpHead head) {
      if (head.status() != 200) {
        throw new HttpException(502, "status " + head.status());
      }
      answered = true;
    }

    /**
     * What was sent is whole and of use. Guards against a watch that is answered, says nothing, and
     * displaces one that does.
     */
    private void sign() {
      lastSign = loop.now();
      spoke = true;
      if (this == current) {
        gap = GAP;
        if (leaving != null) {
          leaving.close();
          leaving = null;
        }
      }
    }

    @Override
    public void body(ByteBuffer piece) {
      texts.read(piece);
    }

    @Override
    public void blank() {
      sign();
    }

    @Override
    public void object(byte[] text) {
      try {
        EndpointList list =
            EndpointList.read(
                StrictJson.read(text),
                zones,
                e -> LOG.log(Level.WARNING, "discovery: left out: " + e.getMessage()));
        if (list.revision() < revision) {
          // Guards against an agent that lags behind the one before it: servers told to be gone
          // would come back.
          LOG.log(
              Level.WARNING, "discovery tells revision " + list.revision() + " after " + revision);
        } else {
          revision = list.revision();
          told.accept(list);
        }
        sign();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    @Override
    public void end() {
      close();
    }

    @Override
    public void closed() {
      if (this == current) {
        current = new Watch();
        loop.after(gap * (1 - JITTER * random.nextDouble()), current::open);
        gap = Math.min(2 * gap, GAP_MOST);
      }
    }
  }
}
