package bitternpulley.platform;

import bitternpulley.broker.AttemptId;
import bitternpulley.broker.Clock;
import bitternpulley.broker.Effect;
import bitternpulley.broker.Event;
import bitternpulley.broker.ProtocolAdapter;
import bitternpulley.config.Configuration;
import bitternpulley.net.EventLoop;
import bitternpulley.net.HostPort;
import bitternpulley.routing.Router.Outcome;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Communicates with the slot servers in the platform's frame protocol: sends attempts over a few
 * connections to each server, and reports the ends of the attempts.
 */
public final class SlotServers implements ProtocolAdapter {
  /**
   * Number of calls that a connection carries before another is opened. With one call, no other
   * call is lost when the server closes the connection after its answer.
   */
  private static final int CALLS_PER_CONNECTION = 1;

  /**
   * Number of calls that a connection carries before another is opened, if servers are charged for
   * handshakes.
   */
  private static final int CALLS_PER_CONNECTION_IF_HANDSHAKES_COSTLY = 8;

  private final EventLoop loop;
  private final Consumer<Event> events;
  private final SlotConnectionPool pool;
  private final Map<AttemptId, SlotConnection> connectionsByAttempt = new HashMap<>();

  private Consumer<Effect.Reply> replyHandler;

  /**
   * Creates an instance that knows no servers yet.
   *
   * @param loop the event loop to run on
   * @param events receives the ends of attempts
   * @param clock the time in ms
   * @param connections the limits that slot servers set for connections
   * @param connectTimeout the maximum time to establish a connection, in ms
   * @param maxConnections the maximum number of open connections
   */
  public SlotServers(
      EventLoop loop,
      Consumer<Event> events,
      Clock clock,
      Configuration.ConnectionSettings connections,
      double connectTimeout,
      int maxConnections) {
    this(
        loop,
        events,
        clock,
        connections,
        connectTimeout,
        maxConnections,
        connections.handshakesCostly()
            ? CALLS_PER_CONNECTION_IF_HANDSHAKES_COSTLY
            : CALLS_PER_CONNECTION);
  }

  /** Creates an instance whose connections carry this many calls before another is opened. */
  SlotServers(
      EventLoop loop,
      Consumer<Event> events,
      Clock clock,
      Configuration.ConnectionSettings connections,
      double connectTimeout,
      int maxConnections,
      int callsPerConnection) {
    this.loop = loop;
    this.events = events;
    pool =
        new SlotConnectionPool(
            loop,
            new SlotConnection.Timing(clock, connectTimeout, connections.idleTimeout()),
            new SlotConnectionPool.Limits(
                connections.callsPerConnection(), maxConnections, callsPerConnection),
            new ConnectionEventHandler());
  }

  /** Sets the receiver of final answers. */
  public void setReplyHandler(Consumer<Effect.Reply> handler) {
    this.replyHandler = handler;
  }

  /** Sets the address of a server. */
  public void setAddress(String server, HostPort address) {
    pool.setAddress(server, address);
  }

  /** Removes a server that has left, with all its state. */
  public void removeServer(String server) {
    pool.removeServer(server);
  }

  /** Removes all servers but these. */
  public void retainOnly(Set<String> servers) {
    pool.retainOnly(servers);
  }

  /**
   * Opens a connection to a server that has none, ahead of the first part for it, unless the limit
   * is reached. A failure to connect is not reported; the first part detects it.
   */
  public void prewarm(String server) {
    pool.openFirst(server);
  }

  @Override
  public void reply(Effect.Reply reply) {
    replyHandler.accept(reply);
  }

  @Override
  public void start(Effect.StartAttempt attempt) {
    startCall(List.of(attempt));
  }

  /** Sends one call if a connection can carry it, otherwise a call for each attempt. */
  @Override
  public void startCall(List<Effect.StartAttempt> attempts) {
    SlotConnection connection = connectionFor(attempts);
    if (connection != null) {
      attempts.forEach(attempt -> connectionsByAttempt.put(attempt.id(), connection));
      connection.startCall(attempts);
    } else if (attempts.size() > 1) {
      attempts.forEach(this::start);
    } else {
      reportUnreachable(attempts.get(0).id());
    }
  }

  /** Returns the connection for these attempts as one call, or null if there is none. */
  private SlotConnection connectionFor(List<Effect.StartAttempt> attempts) {
    String server = attempts.get(0).server();
    HostPort address = pool.address(server);
    if (address == null || (attempts.size() > 1 && !SlotFrames.fitInOneFrame(attempts))) {
      return null;
    }
    List<String> partIds = attempts.stream().map(SlotFrames::partId).toList();
    return pool.connectionFor(server, address, partIds);
  }

  private void reportUnreachable(AttemptId attempt) {
    loop.execute(() -> events.accept(new Event.AttemptEnded(attempt, Outcome.UNREACHABLE, null)));
  }

  @Override
  public void cancel(Effect.CancelAttempt attempt) {
    SlotConnection connection = connectionsByAttempt.get(attempt.id());
    if (connection != null) {
      connection.cancel(attempt.id());
    }
  }

  @Override
  public void cancelUnsentTo(String server) {
    for (SlotConnection connection : pool.connectionsTo(server)) {
      if (!connection.isConnected()) {
        connection.cancelAllUnsent();
      }
    }
  }

  @Override
  public void cancelUnsent(Effect.CancelUnsent attempt) {
    SlotConnection connection = connectionsByAttempt.get(attempt.id());
    if (connection != null) {
      connection.cancelUnsent(attempt.id());
    }
  }

  @Override
  public void closeIdleConnections(String server) {
    pool.closeIdle(server);
  }

  /** Handles the events of the connections. */
  private final class ConnectionEventHandler implements SlotConnectionOwner {
    @Override
    public void onEvent(Event event) {
      events.accept(event);
    }

    @Override
    public void onAttemptRemoved(AttemptId attempt) {
      connectionsByAttempt.remove(attempt);
    }

    @Override
    public void onRetired(SlotConnection connection) {
      pool.remove(connection);
    }

    @Override
    public void onDescriptorReleased() {
      pool.releaseDescriptor();
    }

    @Override
    public boolean reassign(SlotConnection refused, List<List<Effect.StartAttempt>> calls) {
      String server = refused.server();
      if (!pool.isConnectedTo(server) || pool.address(server) == null) {
        return false;
      }
      pool.recordRefusal(server);
      for (List<Effect.StartAttempt> call : calls) {
        call.forEach(attempt -> connectionsByAttempt.remove(attempt.id()));
      }
      calls.forEach(SlotServers.this::startCall);
      return true;
    }
  }
}
