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
import java.util.function.Consumer;

/**
 * One watch of discovery: a request whose chunked answer stays open and holds endpoint lists. It
 * decodes these and checks that the agent stays alive; {@link Discovery} decides what follows.
 */
final class DiscoveryWatch implements Connection.Owner, HttpParser.Sink, JsonObjectStream.Sink {
  private static final System.Logger LOG = System.getLogger(DiscoveryWatch.class.getName());

  private static final double CONNECT_TIMEOUT_MS = 500;

  /** How long the head of the answer may take, in ms; an agent answers at once. */
  private static final double HEAD_TIMEOUT_MS = 1000;

  /**
   * How long the first list or empty line may take from when the connection is up, in ms. An empty
   * line comes every 2 s.
   */
  private static final double FIRST_LINE_TIMEOUT_MS = 2200;

  /**
   * How long each further list or empty line may take, in ms. What discovery sends counts as
   * received 6 s later, which leaves the time for three attempts.
   */
  private static final double LINE_TIMEOUT_MS = 3000;

  /** What a watch reports. */
  interface Listener {
    /** Whether this watch is still the newest one, so that it has to be opened and be alive. */
    boolean isCurrent(DiscoveryWatch watch);

    /** The last revision received by any watch. */
    long revision();

    /** A list was received. */
    void onEndpointList(DiscoveryWatch watch, EndpointList list);

    /** A list or an empty line was received. */
    void onAlive(DiscoveryWatch watch);

    /** What the agent sent cannot be used; the watch closes. */
    void onInvalidMessage(DiscoveryWatch watch, RuntimeException defect);

    /** A watch that was alive has received nothing for too long. */
    void onUnresponsive(DiscoveryWatch watch);

    /** The connection has ended, or could not be opened. */
    void onClosed(DiscoveryWatch watch);
  }

  private final EventLoop loop;
  private final HostPort agent;
  private final List<String> zones;
  private final Listener listener;
  private final HttpParser parser = new HttpParser(true, Long.MAX_VALUE, this);
  private final JsonObjectStream objects = new JsonObjectStream(this);
  private Connection connection;
  private boolean hasHead;
  private boolean hasBeenAlive;
  private double connectedAt;
  private double lastAliveAt;

  /**
   * Creates a watch that is not open.
   *
   * @param loop runs all of it
   * @param agent the address of discovery's agent
   * @param zones the names of zones that the settings number
   * @param listener receives what the watch reports
   */
  DiscoveryWatch(EventLoop loop, HostPort agent, List<String> zones, Listener listener) {
    this.loop = loop;
    this.agent = agent;
    this.zones = zones;
    this.listener = listener;
  }

  /** Connects, unless the watch has been replaced meanwhile. */
  void open() {
    if (!listener.isCurrent(this)) {
      return;
    }
    try {
      connection = Connection.open(loop, agent, CONNECT_TIMEOUT_MS, this, this::sendRequest);
    } catch (UncheckedIOException failure) {
      LOG.log(
          Level.WARNING,
          "Cannot open a socket to discovery at " + agent + ": " + failure.getMessage());
      closed();
    }
  }

  void close() {
    if (connection != null) {
      connection.close();
    }
  }

  /** The address of the agent it leads to. */
  HostPort agent() {
    return agent;
  }

  /** Whether it has received a list or an empty line. */
  boolean hasBeenAlive() {
    return hasBeenAlive;
  }

  private void sendRequest() {
    String request =
        "GET /api/targets?watch=1&from="
            + listener.revision()
            + " HTTP/1.1\r\nHost: "
            + agent
            + "\r\n\r\n";
    connection.write(ByteBuffer.wrap(request.getBytes(StandardCharsets.US_ASCII)), () -> {});
    connectedAt = loop.now();
    lastAliveAt = connectedAt;
    scheduleLivenessCheck();
  }

  /** Until when the next sign of life has to be received, in ms. */
  private double livenessDeadline() {
    if (hasBeenAlive) {
      return lastAliveAt + LINE_TIMEOUT_MS;
    }
    return connectedAt + (hasHead ? FIRST_LINE_TIMEOUT_MS : HEAD_TIMEOUT_MS);
  }

  private void scheduleLivenessCheck() {
    loop.schedule(livenessDeadline() - loop.now(), this::checkLiveness);
  }

  private void checkLiveness() {
    if (!listener.isCurrent(this) || connection.isClosed()) {
      return;
    }
    if (loop.now() < livenessDeadline()) {
      scheduleLivenessCheck();
    } else if (hasBeenAlive) {
      listener.onUnresponsive(this);
    } else {
      connection.close();
    }
  }

  @Override
  public void received(ByteBuffer bytes) {
    try {
      parser.read(bytes);
    } catch (HttpException | ConfigurationException | UncheckedIOException failure) {
      listener.onInvalidMessage(this, failure);
      connection.close();
    }
  }

  @Override
  public void head(HttpHead head) {
    if (head.status() != 200) {
      throw new HttpException(502, "status " + head.status());
    }
    hasHead = true;
  }

  @Override
  public void body(ByteBuffer piece) {
    objects.read(piece);
  }

  @Override
  public void blankLine() {
    markAlive();
  }

  @Override
  public void object(byte[] text) {
    try {
      Consumer<ConfigurationException> invalidEntries =
          defect ->
              LOG.log(
                  Level.WARNING,
                  "Ignored an invalid entry of the endpoint list of discovery at "
                      + agent
                      + ": "
                      + defect.getMessage());
      listener.onEndpointList(
          this, EndpointList.read(StrictJson.read(text), zones, invalidEntries));
      markAlive();
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /** Only complete and valid input counts: an answered watch may stay silent, or send garbage. */
  private void markAlive() {
    lastAliveAt = loop.now();
    hasBeenAlive = true;
    listener.onAlive(this);
  }

  @Override
  public void end() {
    close();
  }

  @Override
  public void closed() {
    listener.onClosed(this);
  }
}
