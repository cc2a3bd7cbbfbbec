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
import java.util.concurrent.Future;
import java.util.function.Consumer;

/**
 * One watch of discovery: a request whose chunked response stays open and carries endpoint lists.
 * This class decodes the lists and reports whether lines arrive; {@link Discovery} decides how to
 * react.
 */
final class DiscoveryWatch implements Connection.Owner, HttpParser.Sink, JsonObjectStream.Sink {
  private static final System.Logger LOG = System.getLogger(DiscoveryWatch.class.getName());

  /**
   * Maximum time between lists or blank lines, in ms. The agent sends a blank line every 2 s. A
   * list counts as received 6 s after discovery sent it, which leaves time for three attempts to
   * open another watch.
   */
  private static final double LINE_TIMEOUT_MS = 3000;

  /**
   * Time from the opening of a watch whose response has begun until its first line is overdue, in
   * ms. The agent sends a blank line every 2 s.
   */
  private static final double FIRST_LINE_TIMEOUT_MS = 2200;

  /** Receives the events of a watch. */
  interface Listener {
    /** The last revision received by any watch. */
    long revision();

    /** A list was received. */
    void onEndpointList(DiscoveryWatch watch, EndpointList list);

    /** A list or a blank line was received, after {@link #onEndpointList} for a list. */
    void onLine(DiscoveryWatch watch);

    /** Bytes were received and processed; they may end within a list. */
    void onReceived(DiscoveryWatch watch);

    /** The agent sent an invalid message; the watch closes. */
    void onInvalidMessage(DiscoveryWatch watch, RuntimeException defect);

    /** A watch that had received a line received no further one within the timeout. */
    void onSilent(DiscoveryWatch watch);

    /** The connection was closed, or could not be opened. */
    void onClosed(DiscoveryWatch watch);
  }

  private final EventLoop loop;
  private final HostPort agentAddress;
  private final List<String> zones;
  private final Listener listener;
  private final HttpParser parser = new HttpParser(true, Long.MAX_VALUE, this);
  private final JsonObjectStream objects = new JsonObjectStream(this);

  /** Null until the watch is opened, and if no socket could be opened. */
  private Connection connection;

  /** Closes the watch if it stays unanswered. */
  private Future<?> answerTimer;

  private double openedAt;
  private double answerDeadline;
  private boolean headReceived;
  private boolean answered;
  private double lastLineAt;
  private boolean silenceCheckScheduled;

  /** The last revision that this watch has received or, until then, asked for. */
  private long revision;

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

  /**
   * Connects and sends the request.
   *
   * @param answerTimeout the time in ms after which the watch closes, whether or not it is
   *     connected, unless it has received a line
   */
  void open(double answerTimeout) {
    openedAt = loop.now();
    answerDeadline = openedAt + answerTimeout;
    try {
      connection = Connection.open(loop, agentAddress, answerTimeout, this, this::sendRequest);
      answerTimer = loop.scheduleCancellable(answerTimeout, this::closeUnlessAnswered);
    } catch (UncheckedIOException failure) {
      LOG.log(
          Level.WARNING,
          "Cannot open a socket to discovery at " + agentAddress + ": " + failure.getMessage());
      loop.execute(this::closed);
    }
  }

  /** Closes the watch, if it is open. */
  void close() {
    if (connection != null) {
      answerTimer.cancel(false);
      connection.close();
    }
  }

  /** The address of the agent that is watched. */
  HostPort agentAddress() {
    return agentAddress;
  }

  /** The time of the loop in ms at which the watch closes if it is unanswered. */
  double answerDeadline() {
    return answerDeadline;
  }

  /**
   * The time in ms until the first line of a watch whose response has begun is overdue; 0 if the
   * response has not begun.
   */
  double msUntilFirstLineIsOverdue() {
    return headReceived ? Math.max(0, openedAt + FIRST_LINE_TIMEOUT_MS - loop.now()) : 0;
  }

  /** The last revision that this watch has received or, until then, asked for. */
  long revision() {
    return revision;
  }

  /** The number of bytes of a list that has not been received completely. */
  int incompleteBytes() {
    return objects.incompleteBytes();
  }

  private void sendRequest() {
    revision = listener.revision();
    String request =
        "GET /api/targets?watch=1&from="
            + revision
            + " HTTP/1.1\r\nHost: "
            + agentAddress
            + "\r\n\r\n";
    connection.write(ByteBuffer.wrap(request.getBytes(StandardCharsets.US_ASCII)), () -> {});
  }

  private void closeUnlessAnswered() {
    if (!answered) {
      connection.close();
    }
  }

  private void scheduleSilenceCheck() {
    silenceCheckScheduled = true;
    loop.schedule(lastLineAt + LINE_TIMEOUT_MS - loop.now(), this::checkSilence);
  }

  private void checkSilence() {
    silenceCheckScheduled = false;
    if (connection.isClosed()) {
      return;
    }
    if (loop.now() < lastLineAt + LINE_TIMEOUT_MS) {
      scheduleSilenceCheck();
    } else {
      listener.onSilent(this);
    }
  }

  @Override
  public void received(ByteBuffer bytes) {
    try {
      parser.read(bytes);
      listener.onReceived(this);
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
    lineReceived();
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
      EndpointList list = EndpointList.read(StrictJson.read(text), zones, onInvalidEntry);
      revision = list.revision();
      listener.onEndpointList(this, list);
      lineReceived();
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /**
   * Called only for complete and valid input: an agent may accept the watch and then stay silent or
   * send invalid data.
   */
  private void lineReceived() {
    lastLineAt = loop.now();
    answered = true;
    answerTimer.cancel(false);
    if (!silenceCheckScheduled) {
      scheduleSilenceCheck();
    }
    listener.onLine(this);
  }

  @Override
  public void end() {
    close();
  }

  @Override
  public void closed() {
    if (answerTimer != null) {
      answerTimer.cancel(false);
    }
    listener.onClosed(this);
  }
}
