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
 * One watch of discovery: a request whose chunked response stays open and carries endpoint lists.
 * This class decodes the lists and checks that the agent stays alive; {@link Discovery} decides how
 * to react.
 */
final class DiscoveryWatch implements Connection.Owner, HttpParser.Sink, JsonObjectStream.Sink {
  private static final System.Logger LOG = System.getLogger(DiscoveryWatch.class.getName());

  private static final double CONNECT_TIMEOUT_MS = 500;

  /**
   * Maximum time until the response head is received, in ms; an agent normally responds at once.
   */
  private static final double RESPONSE_HEAD_TIMEOUT_MS = 1000;

  /**
   * Maximum time from the connection being established to the first list or blank line, in ms. The
   * agent sends a blank line every 2 s.
   */
  private static final double FIRST_LINE_TIMEOUT_MS = 2200;

  /**
   * Maximum time between lists or blank lines, in ms. A list counts as received 6 s after discovery
   * sent it, which leaves time for three attempts to open another watch.
   */
  private static final double LINE_TIMEOUT_MS = 3000;

  /** Receives the events of a watch. */
  interface Listener {
    /**
     * Returns whether this watch is still the newest one. Only the newest one has to be opened and
     * checked for liveness.
     */
    boolean isCurrent(DiscoveryWatch watch);

    /** The last revision received by any watch. */
    long revision();

    /** A list was received. */
    void onEndpointList(DiscoveryWatch watch, EndpointList list);

    /** A list or a blank line was received. */
    void onAlive(DiscoveryWatch watch);

    /** The agent sent an invalid message; the watch closes. */
    void onInvalidMessage(DiscoveryWatch watch, RuntimeException defect);

    /** A watch that had been alive received nothing within the timeout. */
    void onUnresponsive(DiscoveryWatch watch);

    /** The connection was closed, or could not be opened. */
    void onClosed(DiscoveryWatch watch);
  }

  private final EventLoop loop;
  private final HostPort agentAddress;
  private final List<String> zones;
  private final Listener listener;
  private final HttpParser parser = new HttpParser(true, Long.MAX_VALUE, this);
  private final JsonObjectStream objects = new JsonObjectStream(this);
  private Connection connection;
  private boolean headReceived;
  private boolean hasBeenAlive;
  private double connectedAt;
  private double lastAliveAt;

  /**
   * Creates a watch that is not open.
   *
   * @param loop the event loop to run on
   * @param agentAddress the address of the discovery agent
   * @param zones the zone names; the settings refer to a zone by its index
   * @param listener receives the events of the watch
   */
  DiscoveryWatch(EventLoop loop, HostPort agentAddress, List<String> zones, Listener listener) {
    this.loop = loop;
    this.agentAddress = agentAddress;
    this.zones = zones;
    this.listener = listener;
  }

  /** Connects, unless the watch has been replaced in the meantime. */
  void open() {
    if (!listener.isCurrent(this)) {
      return;
    }
    try {
      connection = Connection.open(loop, agentAddress, CONNECT_TIMEOUT_MS, this, this::sendRequest);
    } catch (UncheckedIOException failure) {
      LOG.log(
          Level.WARNING,
          "Cannot open a socket to discovery at " + agentAddress + ": " + failure.getMessage());
      closed();
    }
  }

  void close() {
    if (connection != null) {
      connection.close();
    }
  }

  /** The address of the agent that is watched. */
  HostPort agentAddress() {
    return agentAddress;
  }

  /** Whether the watch has received a list or a blank line. */
  boolean hasBeenAlive() {
    return hasBeenAlive;
  }

  private void sendRequest() {
    String request =
        "GET /api/targets?watch=1&from="
            + listener.revision()
            + " HTTP/1.1\r\nHost: "
            + agentAddress
            + "\r\n\r\n";
    connection.write(ByteBuffer.wrap(request.getBytes(StandardCharsets.US_ASCII)), () -> {});
    connectedAt = loop.now();
    lastAliveAt = connectedAt;
    scheduleLivenessCheck();
  }

  /** Time by which the response head, or the next list or blank line, has to be received, in ms. */
  private double livenessDeadline() {
    if (hasBeenAlive) {
      return lastAliveAt + LINE_TIMEOUT_MS;
    }
    return connectedAt + (headReceived ? FIRST_LINE_TIMEOUT_MS : RESPONSE_HEAD_TIMEOUT_MS);
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
    headReceived = true;
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
      Consumer<ConfigurationException> onInvalidEntry =
          defect ->
              LOG.log(
                  Level.WARNING,
                  "Ignored an invalid entry of the endpoint list of discovery at "
                      + agentAddress
                      + ": "
                      + defect.getMessage());
      listener.onEndpointList(
          this, EndpointList.read(StrictJson.read(text), zones, onInvalidEntry));
      markAlive();
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /**
   * Called only for complete and valid input: an agent may accept the watch and then stay silent or
   * send invalid data.
   */
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
