package bitternpulley.platform;

import bitternpulley.broker.AttemptId;
import bitternpulley.broker.Clock;
import bitternpulley.broker.Dialect;
import bitternpulley.broker.Effect;
import bitternpulley.broker.Event;
import bitternpulley.config.Configuration;
import bitternpulley.net.EventLoop;
import bitternpulley.net.HostPort;
import bitternpulley.routing.Router.Outcome;
import java.io.UncheckedIOException;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The platform's way to the slot servers: frames over a few connections to each, many parts on one.
 */
public final class SlotServers implements Dialect {
  private static final System.Logger LOG = System.getLogger(SlotServers.class.getName());

  /**
   * Calls out on a connection beyond which another is opened, and connections to one server at
   * most. Guards against a connection that ends right after an answer, or is spoilt by one, taking
   * other calls along.
   */
  private static final int SHARED_BY = 1;

  private static final int MOST_TO_ONE = 8;

  /**
   * The same where handshakes are charged for, as where very many aggregators share the servers.
   */
  private static final int SHARED_IF_DEAR = 8;

  /**
   * Ms for which a server that holds no more connections is spared further tries: others close
   * theirs as they fall idle.
   */
  private static final double REFUSING_FOR = 1000;

  /** Ms between looks for connections that are idle for too long. */
  private static final double SWEEP = 1000;

  private final EventLoop loop;
  private final Consumer<Event> events;
  private final SlotConnection.Times times;
  private final int streams;
  private final int mostLinks;
  private final int sharedBy;
  private final Map<String, HostPort> addresses = new HashMap<>();
  private final Map<String, List<SlotConnection>> links = new HashMap<>();
  private final Map<AttemptId, SlotConnection> out = new HashMap<>();

  /**
   * Until when no further connection is tried for at a server that refused one beside another;
   * bounded by the servers known.
   */
  private final Map<String, Double> refusingUntil = new HashMap<>();

  private Consumer<Effect.Reply> answers;
  private int open;

  public SlotServers(
      EventLoop loop,
      Consumer<Event> events,
      Clock clock,
      Configuration.ConnectionSettings wire,
      double connectTimeout,
      int mostLinks) {
    this(
        loop,
        events,
        clock,
        wire,
        connectTimeout,
        mostLinks,
        wire.handshakesCostly() ? SHARED_IF_DEAR : SHARED_BY);
  }

  /** As above, where so many parts share a connection before another is opened. */
  SlotServers(
      EventLoop loop,
      Consumer<Event> events,
      Clock clock,
      Configuration.ConnectionSettings wire,
      double connectTimeout,
      int mostLinks,
      int sharedBy) {
    this.sharedBy = sharedBy;
    this.loop = loop;
    this.events = events;
    this.times = new SlotConnection.Times(clock, connectTimeout, wire.idleTimeout());
    this.streams = wire.callsPerConnection();
    this.mostLinks = mostLinks;
    loop.after(SWEEP, this::sweep);
  }

  /**
   * One look for all connections: guards against an alarm for each time that one of them falls
   * idle.
   */
  private void sweep() {
    for (List<SlotConnection> all : List.copyOf(links.values())) {
      for (SlotConnection l : List.copyOf(all)) {
        if (l.idleTooLong() || l.isIdle() && !addresses.containsKey(l.server())) {
          l.close();
        }
      }
    }
    loop.after(SWEEP, this::sweep);
  }

  /** Says who delivers final answers. */
  public void answersTo(Consumer<Effect.Reply> answers) {
    this.answers = answers;
  }

  /** Notes where a server is reached. */
  public void address(String server, HostPort at) {
    HostPort before = addresses.put(server, at);
    if (before != null && !before.equals(at)) {
      closeIdleConnections(server);
    }
  }

  /**
   * Guards against all that is kept for servers of which a long day sees ever new ones: this one is
   * gone.
   */
  public void forget(String server) {
    addresses.remove(server);
    refusingUntil.remove(server);
    closeIdleConnections(server);
  }

  /** Forgets all others. */
  public void keepOnly(Set<String> named) {
    List.copyOf(addresses.keySet()).stream().filter(s -> !named.contains(s)).forEach(this::forget);
  }

  @Override
  public void reply(Effect.Reply reply) {
    answers.accept(reply);
  }

  @Override
  public void start(Effect.StartAttempt attempt) {
    startCall(List.of(attempt));
  }

  /** One call for all of them where a connection can carry that; else each on its own. */
  @Override
  public void startCall(List<Effect.StartAttempt> attempts) {
    String server = attempts.get(0).server();
    HostPort at = addresses.get(server);
    boolean fits = attempts.size() == 1 || SlotFrames.fitOneCall(attempts);
    SlotConnection link =
        at == null || !fits
            ? null
            : link(server, at, attempts.stream().map(SlotFrames::partId).toList());
    if (link != null) {
      attempts.forEach(a -> out.put(a.id(), link));
      link.call(attempts);
    } else if (attempts.size() > 1) {
      attempts.forEach(this::start);
    } else {
      loop.execute(
          () ->
              events.accept(
                  new Event.AttemptEnded(attempts.get(0).id(), Outcome.UNREACHABLE, null)));
    }
  }

  /**
   * Opens a connection to a server that has none, ahead of the first part for it, unless all places
   * are taken. Whether it comes up is told to nobody: the first part finds out.
   */
  public void prepare(String server) {
    HostPort at = addresses.get(server);
    if (at != null && !links.containsKey(server) && open < mostLinks) {
      open(server, at);
    }
  }

  /**
   * The connection with the fewest parts out, a fresh one where calls out there are many; null
   * where there is none.
   */
  private SlotConnection link(String server, HostPort at, List<String> parts) {
    // Guards against a frame that crosses the server's close of a connection idle for too long, of
    // which the sweep comes late.
    List.copyOf(links.getOrDefault(server, List.of())).stream()
        .filter(SlotConnection::idleTooLong)
        .forEach(SlotConnection::close);
    List<SlotConnection> all = links.getOrDefault(server, List.of());
    SlotConnection least = null;
    for (SlotConnection l : all) {
      if (l.parts() + parts.size() <= streams
          && (least == null || l.parts() < least.parts())
          && l.suits(at, parts)) {
        least = l;
      }
    }
    boolean holdsMore = all.size() < mostToOne() && open < mostLinks && !isRefusing(server);
    if (least != null && (least.calls() < sharedBy || !holdsMore)) {
      return least;
    }
    if (parts.size() > streams) {
      return null;
    }
    if (open >= mostLinks && !closeOneIdle()) {
      LOG.log(Level.WARNING, "no descriptor to spare for another connection to " + server);
      return null;
    }
    return open(server, at);
  }

  /** Whether the server refused a connection of late, though it runs: it holds no more of them. */
  private boolean isRefusing(String server) {
    return times.clock().now() < refusingUntil.getOrDefault(server, Double.NEGATIVE_INFINITY);
  }

  /** A fresh connection; null where not even a socket can be had. */
  private SlotConnection open(String server, HostPort at) {
    try {
      SlotConnection fresh = new SlotConnection(loop, times, new Connections(), server, at);
      open++;
      links.computeIfAbsent(server, s -> new ArrayList<>()).add(fresh);
      return fresh;
    } catch (UncheckedIOException e) {
      // Guards against an attempt that never ends because not even a socket could be had for it.
      LOG.log(Level.WARNING, "no socket for " + server + ": " + e.getMessage());
      return null;
    }
  }

  /** Guards against a few servers that take all connections and leave none to reach another by. */
  private int mostToOne() {
    return Math.max(1, Math.min(MOST_TO_ONE, mostLinks / Math.max(1, addresses.size())));
  }

  /** Whether one was there to make room; its descriptor is free at once, before its end is told. */
  private boolean closeOneIdle() {
    Optional<SlotConnection> idle =
        links.values().stream()
            .flatMap(List::stream)
            .filter(l -> l.isIdle())
            .min(Comparator.comparingDouble(SlotConnection::idleSince));
    idle.ifPresent(SlotConnection::close);
    return idle.isPresent();
  }

  @Override
  public void cancel(Effect.CancelAttempt attempt) {
    SlotConnection link = out.get(attempt.id());
    if (link != null) {
      link.abandon(attempt.id());
    }
  }

  @Override
  public void cancelUnsentTo(String server) {
    for (SlotConnection l : List.copyOf(links.getOrDefault(server, List.of()))) {
      if (!l.isUp()) {
        l.withdraw();
      }
    }
  }

  @Override
  public void cancelUnsent(Effect.CancelUnsent attempt) {
    SlotConnection link = out.get(attempt.id());
    if (link != null) {
      link.takeBack(attempt.id());
    }
  }

  @Override
  public void closeIdleConnections(String server) {
    for (SlotConnection l : List.copyOf(links.getOrDefault(server, List.of()))) {
      if (l.isIdle()) {
        l.close();
      }
    }
  }

  /** What the connections tell. */
  private final class Connections implements SlotConnectionOwner {
    @Override
    public void tell(Event event) {
      events.accept(event);
    }

    @Override
    public void removed(AttemptId attempt) {
      out.remove(attempt);
    }

    @Override
    public void left(SlotConnection connection) {
      List<SlotConnection> all = links.get(connection.server());
      if (all != null && all.remove(connection) && all.isEmpty()) {
        links.remove(connection.server());
      }
    }

    @Override
    public void released() {
      open--;
    }

    @Override
    public boolean takeOver(SlotConnection refused, List<List<Effect.StartAttempt>> calls) {
      String server = refused.server();
      List<SlotConnection> up =
          links.getOrDefault(server, List.of()).stream().filter(SlotConnection::isUp).toList();
      if (up.isEmpty() || !addresses.containsKey(server)) {
        return false;
      }
      refusingUntil.put(server, times.clock().now() + REFUSING_FOR);
      calls.stream().flatMap(List::stream).forEach(a -> out.remove(a.id()));
      calls.forEach(SlotServers.this::startCall);
      return true;
    }
  }
}
