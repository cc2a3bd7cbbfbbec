package bitternpulley.platform;

import bitternpulley.broker.AttemptId;
import bitternpulley.broker.Clock;
import bitternpulley.broker.Effect;
import bitternpulley.broker.Event;
import bitternpulley.net.Connection;
import bitternpulley.net.EventLoop;
import bitternpulley.net.HostPort;
import bitternpulley.routing.Router.Outcome;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * One connection to a slot server: connects, sends calls and cancellations, and closes. The end of
 * each attempt is reported to the owner exactly once.
 */
final class SlotConnection implements Connection.Owner {
  private static final System.Logger LOG = System.getLogger(SlotConnection.class.getName());

  /**
   * Maximum time allowed for a cancellation to reach the server, as a share of the connect timeout.
   */
  private static final double MAX_CANCEL_DELAY_SHARE = 0.1;

  /** A connection that fails within this share of the connect timeout counts as refused. */
  private static final double MAX_REFUSAL_TIME_SHARE = 0.5;

  /**
   * The clock and the time limits of connections.
   *
   * @param clock the time in ms
   * @param connectTimeout the maximum time to establish a connection, in ms
   * @param idleTimeout the maximum time that a connection may be idle, in ms
   */
  record Timing(Clock clock, double connectTimeout, double idleTimeout) {}

  private final EventLoop loop;
  private final Timing timing;
  private final SlotConnectionOwner owner;
  private final String server;
  private final HostPort address;
  private final PartsInFlight inFlight = new PartsInFlight();
  private final SlotFrameReader reader;
  private final FrameTimeout frameTimeout;
  private final Connection connection;
  private final double openedAt;

  /** Whether the connection has been established. */
  private boolean connected;

  /** Whether the connection takes no further calls. */
  private boolean retired;

  /** Whether input is no longer processed. */
  private boolean ended;

  private boolean descriptorReleased;

  /** Number of reads from the connection. */
  private long reads;

  /** Time allowed for a cancellation to reach the server, in ms. */
  private double cancelDelay;

  private double idleSince;

  /**
   * Starts to connect.
   *
   * @throws java.io.UncheckedIOException if no socket can be opened
   */
  SlotConnection(
      EventLoop loop, Timing timing, SlotConnectionOwner owner, String server, HostPort address) {
    this.loop = loop;
    this.timing = timing;
    this.owner = owner;
    this.server = server;
    this.address = address;
    reader = new SlotFrameReader(server, inFlight, this::remove);
    frameTimeout = new FrameTimeout(loop, reader, this::closeAfterIncompleteFrame);
    openedAt = timing.clock().now();
    idleSince = openedAt;
    connection = Connection.open(loop, address, timing.connectTimeout(), this, this::onConnected);
  }

  private void onConnected() {
    connected = true;
    // Connecting takes a round trip and some work on both sides; a cancellation takes less time.
    cancelDelay =
        Math.min(timing.clock().now() - openedAt, MAX_CANCEL_DELAY_SHARE * timing.connectTimeout());
    inFlight.calls().forEach(this::send);
  }

  String server() {
    return server;
  }

  boolean isConnected() {
    return connected;
  }

  boolean isIdle() {
    return inFlight.isEmpty();
  }

  /** When the last part ended, in ms. */
  double idleSince() {
    return idleSince;
  }

  boolean isIdleTooLong() {
    return isIdle() && timing.clock().now() - idleSince > timing.idleTimeout();
  }

  /** The number of parts in flight. */
  int partCount() {
    return inFlight.size();
  }

  /** The number of calls with parts in flight. */
  int callCount() {
    return inFlight.callCount();
  }

  /** Whether the connection leads to this address and may carry parts with these ids. */
  boolean accepts(HostPort serverAddress, List<String> partIds) {
    return address.equals(serverAddress) && !connection.isClosed() && inFlight.areUnused(partIds);
  }

  /** Sends these attempts as one call, once the connection is established. */
  void startCall(List<Effect.StartAttempt> attempts) {
    SlotCall call = inFlight.add(attempts);
    if (connected) {
      send(call);
    }
  }

  /** Writes a call without the attempts that waited too long for the connection. */
  private void send(SlotCall call) {
    List<AttemptId> expired = call.expiredAt(timing.clock().now());
    expired.forEach(this::remove);
    reportNotSent(expired);
    if (!call.isEmpty()) {
      write(call);
    }
  }

  private void write(SlotCall call) {
    connection.write(call.encode(reads), call::markWritten);
  }

  /**
   * Removes an attempt from its call before the call is written; returns false if a byte of the
   * call may have been sent.
   */
  private boolean removeUnsent(AttemptId attempt) {
    SlotCall call = inFlight.get(attempt).call();
    if (connected && !connection.cancelWrite(call.frame())) {
      return false;
    }
    remove(attempt);
    if (connected && !call.isEmpty()) {
      write(call);
    }
    return true;
  }

  /** Ends an attempt as not sent, unless a byte of its call may have been sent. */
  void cancelUnsent(AttemptId attempt) {
    if (removeUnsent(attempt)) {
      reportNotSent(List.of(attempt));
    }
  }

  /**
   * Cancels an attempt and reports {@link Event.AttemptCancelled} once the cancellation has had
   * time to reach the server.
   */
  void cancel(AttemptId attempt) {
    SlotCall.Part part = inFlight.get(attempt);
    if (removeUnsent(attempt)) {
      owner.onEvent(new Event.AttemptCancelled(attempt));
      return;
    }
    inFlight.recordCancelled(part.id());
    if (part.call().readsBeforeWrite() == reads) {
      // Nothing was received since the call was written, so the connection may have died silently.
      retire();
    }
    scheduleCloseUnlessEnded(attempt);
    connection.write(
        SlotFrames.encodeCancel(part.id()),
        () -> {
          loop.schedule(cancelDelay, () -> reportCancelled(attempt));
        });
  }

  /**
   * Closes the connection if the attempt does not end: a server that has stopped reading never sees
   * the cancellation.
   */
  private void scheduleCloseUnlessEnded(AttemptId attempt) {
    var unused =
        loop.scheduleCancellable(
            timing.connectTimeout(),
            () -> {
              if (inFlight.contains(attempt)) {
                close();
              }
            });
  }

  /**
   * Runs only after the cancellation has had time to arrive: the next attempt may go to a nearer
   * server, where it must not overtake the cancellation and run concurrently with the cancelled
   * one.
   */
  private void reportCancelled(AttemptId attempt) {
    if (inFlight.contains(attempt)) {
      remove(attempt);
      owner.onEvent(new Event.AttemptCancelled(attempt));
    }
  }

  /**
   * Closes a connection that is not yet established; the attempts that wait for it end as not sent.
   */
  void cancelAllUnsent() {
    List<AttemptId> attempts = inFlight.attempts();
    attempts.forEach(this::remove);
    close();
    attempts.forEach(
        attempt -> owner.onEvent(new Event.AttemptEnded(attempt, Outcome.NOT_SENT, null)));
  }

  /**
   * Reports at the end of the current turn of the event loop, since the owner may respond to the
   * end of one attempt by cancelling another, whose call may not have been written yet.
   */
  private void reportNotSent(List<AttemptId> attempts) {
    if (attempts.isEmpty()) {
      return;
    }
    loop.execute(
        () ->
            attempts.forEach(
                attempt -> owner.onEvent(new Event.AttemptEnded(attempt, Outcome.NOT_SENT, null))));
  }

  private void remove(AttemptId attempt) {
    inFlight.remove(attempt);
    owner.onAttemptRemoved(attempt);
    idleSince = timing.clock().now();
    if (retired && isIdle()) {
      loop.execute(connection::close);
    }
  }

  /** Closes the connection; attempts in flight end when the close is reported back. */
  void close() {
    retire();
    connection.close();
    releaseDescriptor();
  }

  /**
   * Reports the descriptor as free as soon as the connection is closed. If it counted as free only
   * when the close is reported back, a server could seem unreachable for lack of a descriptor.
   */
  private void releaseDescriptor() {
    if (!descriptorReleased) {
      descriptorReleased = true;
      owner.onDescriptorReleased();
    }
  }

  private void retire() {
    retired = true;
    owner.onRetired(this);
  }

  /**
   * Processes all bytes of one read together, since the validity of a result depends on what
   * follows it.
   */
  @Override
  public void received(ByteBuffer bytes) {
    if (ended) {
      return;
    }
    reads++;
    ByteBuffer received = bytes.duplicate();
    List<Event.AttemptEnded> endedAttempts = new ArrayList<>();
    try {
      reader.read(bytes, endedAttempts);
      frameTimeout.onRead(received.remaining());
    } catch (ProtocolException failure) {
      closeAfterViolation(
          failure, StandardCharsets.ISO_8859_1.decode(received).toString(), endedAttempts);
    }
    endedAttempts.forEach(owner::onEvent);
  }

  private void closeAfterIncompleteFrame() {
    if (ended) {
      return;
    }
    List<Event.AttemptEnded> endedAttempts = new ArrayList<>();
    ProtocolException violation =
        new ProtocolException(server, "frame", FrameTimeout.description());
    closeAfterViolation(violation, "", endedAttempts);
    endedAttempts.forEach(owner::onEvent);
  }

  /**
   * Closes the connection after a violation of the protocol, and adds the ends of the attempts in
   * flight. An attempt that the violation can be attributed to has failed; the others are
   * cancelled, which does not count against the server. If no attempt is in flight, the result
   * before the violation may have been truncated.
   */
  private void closeAfterViolation(
      ProtocolException violation, String received, List<Event.AttemptEnded> endedAttempts) {
    LOG.log(
        Level.WARNING,
        "Protocol violation by " + violation.getMessage() + "; closing connection to " + address);
    List<AttemptId> remaining = inFlight.attempts();
    if (remaining.isEmpty() && !endedAttempts.isEmpty()) {
      failIfTruncated(endedAttempts);
    }
    AttemptId failed = inFlight.findAttemptByResult(received);
    for (AttemptId attempt : remaining) {
      remove(attempt);
      Outcome outcome = attempt.equals(failed) ? Outcome.ERROR : Outcome.CANCELLED;
      endedAttempts.add(new Event.AttemptEnded(attempt, outcome, null));
    }
    ended = true;
    close();
  }

  private static void failIfTruncated(List<Event.AttemptEnded> endedAttempts) {
    int lastIndex = endedAttempts.size() - 1;
    Event.AttemptEnded last = endedAttempts.get(lastIndex);
    if (last.outcome() == Outcome.OK && !SlotFrames.isCompleteValue((PartValue) last.value())) {
      endedAttempts.set(lastIndex, new Event.AttemptEnded(last.attempt(), Outcome.ERROR, null));
    }
  }

  @Override
  public void closed() {
    releaseDescriptor();
    ended = true;
    retire();
    if (!connected && wasRefused() && reassignCalls()) {
      return;
    }
    // All parts are removed before the first end is reported: the owner may respond to an end by
    // cancelling another attempt that was in flight on this connection.
    List<SlotCall.Part> remaining = inFlight.parts();
    remaining.forEach(part -> remove(part.attempt().id()));
    for (SlotCall.Part part : remaining) {
      Outcome outcome = part.call().isWritten() ? Outcome.RESET : Outcome.UNREACHABLE;
      owner.onEvent(new Event.AttemptEnded(part.attempt().id(), outcome, null));
    }
  }

  /**
   * Whether the server refused the connection. A process that is not running, or accepts no more
   * connections, refuses at once; a longer wait is caused by the network or the handshake.
   */
  private boolean wasRefused() {
    return timing.clock().now() - openedAt < MAX_REFUSAL_TIME_SHARE * timing.connectTimeout();
  }

  private boolean reassignCalls() {
    List<List<Effect.StartAttempt>> calls =
        inFlight.calls().stream().map(SlotCall::attempts).toList();
    if (calls.isEmpty() || !owner.reassign(this, calls)) {
      return false;
    }
    inFlight.clear();
    return true;
  }
}
