package bitternpulley.platform;

import bitternpulley.routing.Router.Outcome;
import bitternpulley.broker.AttemptId;
import bitternpulley.broker.Clock;
import bitternpulley.broker.Dialect;
import bitternpulley.broker.Effect;
import bitternpulley.broker.Event;
import bitternpulley.config.Configuration;
import bitternpulley.net.Connection;
import bitternpulley.net.EventLoop;
import bitternpulley.net.FrameCodec;
import bitternpulley.net.HostPort;
import java.io.UncheckedIOException;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/** The platform's way to the slot servers: frames over a few connections to each, many parts on one. */
public final class SlotServers implements Dialect {
  private static final System.Logger LOG = System.getLogger(SlotServers.class.getName());

  /** Parts given up, and parts answered, that a connection remembers by name. */
  private static final int MOST_GIVEN_UP = 256;
  private static final int MOST_ANSWERED = 32;
  /**
   * Parts out on a connection beyond which another is opened, and connections to one server at most. Guards against a
   * connection that ends right after an answer, or is spoilt by one, taking other parts along.
   */
  private static final int SHARED_BY = 1;
  private static final int MOST_TO_ONE = 8;
  /** The same where handshakes are charged for, as where very many aggregators share the servers. */
  private static final int SHARED_IF_DEAR = 8;
  /** Ms that a frame may take to come in whole once it has begun. */
  private static final double FRAME_TIME = 300;
  /** Share of the time to connect that the word of a part given up is allowed at most for its way. */
  private static final double WORD_SHARE = 0.1;
  /** Ms between looks for connections that are idle for too long. */
  private static final double SWEEP = 1000;

  private final EventLoop loop;
  private final Consumer<Event> events;
  private final Clock clock;
  private final int streams;
  private final double idleAfter;
  private final double connectTimeout;
  private final int mostLinks;
  private final int sharedBy;
  private final Map<String, HostPort> addresses = new HashMap<>();
  private final Map<String, List<Link>> links = new HashMap<>();
  private final Map<AttemptId, Link> out = new HashMap<>();
  private Consumer<Effect.Reply> answers;
  private int open;

  public SlotServers(EventLoop loop, Consumer<Event> events, Clock clock, Configuration.Wire wire, double connectTimeout,
      int mostLinks) {
    this(loop, events, clock, wire, connectTimeout, mostLinks, wire.dear() ? SHARED_IF_DEAR : SHARED_BY);
  }

  /** As above, where so many parts share a connection before another is opened. */
  SlotServers(EventLoop loop, Consumer<Event> events, Clock clock, Configuration.Wire wire, double connectTimeout,
      int mostLinks, int sharedBy) {
    this.sharedBy = sharedBy;
    this.loop = loop;
    this.events = events;
    this.clock = clock;
    this.streams = wire.streams();
    this.idleAfter = wire.idleAfter();
    this.connectTimeout = connectTimeout;
    this.mostLinks = mostLinks;
    loop.after(SWEEP, this::sweep);
  }

  /** One look for all connections: guards against an alarm for each time that one of them falls idle. */
  private void sweep() {
    for (List<Link> all : List.copyOf(links.values())) {
      for (Link l : List.copyOf(all)) {
        if (l.idleTooLong() || l.calls.isEmpty() && !addresses.containsKey(l.server)) {
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
      closeIdle(server);
    }
  }

  /** Guards against all that is kept for servers of which a long day sees ever new ones: this one is gone. */
  public void forget(String server) {
    addresses.remove(server);
    closeIdle(server);
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
  public void start(Effect.Start attempt) {
    HostPort at = addresses.get(attempt.server());
    String part = Frames.partId(attempt);
    Link link = at == null ? null : link(attempt.server(), at, part);
    if (link == null) {
      loop.execute(() -> events.accept(new Event.Ended(attempt.id(), Outcome.UNREACHABLE, null)));
      return;
    }
    out.put(attempt.id(), link);
    link.call(attempt, part);
  }

  /**
   * Opens a connection to a server that has none, ahead of the first part for it, unless all places are taken. Whether it
   * comes up is told to nobody: the first part finds out.
   */
  public void prepare(String server) {
    HostPort at = addresses.get(server);
    if (at != null && !links.containsKey(server) && open < mostLinks) {
      open(server, at);
    }
  }

  /** The connection with the fewest parts out, a fresh one where those are many; null where there is none. */
  private Link link(String server, HostPort at, String part) {
    // Guards against a frame that crosses the server's close of a connection idle for too long, of which the sweep comes late.
    List.copyOf(links.getOrDefault(server, List.of())).stream().filter(Link::idleTooLong).forEach(Link::close);
    List<Link> all = links.getOrDefault(server, List.of());
    Link least = null;
    for (Link l : all) {
      if (l.calls.size() < streams && l.at.equals(at) && !l.connection.isClosed() && !l.knows(part)
          && (least == null || l.calls.size() < least.calls.size())) {
        least = l;
      }
    }
    if (least != null && (least.calls.size() < sharedBy || all.size() >= mostToOne() || open >= mostLinks)) {
      return least;
    }
    if (open >= mostLinks && !closeOneIdle()) {
      LOG.log(Level.WARNING, "no descriptor to spare for another connection to " + server);
      return null;
    }
    return open(server, at);
  }

  /** A fresh connection; null where not even a socket can be had. */
  private Link open(String server, HostPort at) {
    try {
      Link fresh = new Link(server, at);
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
    Optional<Link> idle = links.values().stream().flatMap(List::stream).filter(l -> l.calls.isEmpty())
        .min(Comparator.comparingDouble(l -> l.idleSince));
    idle.ifPresent(Link::close);
    return idle.isPresent();
  }

  @Override
  public void abandon(Effect.Abandon attempt) {
    Link link = out.get(attempt.id());
    if (link != null) {
      link.abandon(attempt.id());
    }
  }

  @Override
  public void withdraw(String server) {
    for (Link l : List.copyOf(links.getOrDefault(server, List.of()))) {
      if (!l.up) {
        l.withdraw();
      }
    }
  }

  @Override
  public void takeBack(Effect.TakeBack attempt) {
    Link link = out.get(attempt.id());
    if (link != null && link.unsent(attempt.id())) {
      link.endUnsent(List.of(attempt.id()));
    }
  }

  @Override
  public void closeIdle(String server) {
    for (Link l : List.copyOf(links.getOrDefault(server, List.of()))) {
      if (l.calls.isEmpty()) {
        l.close();
      }
    }
  }

  private static final class Call {
    final String id;
    final ByteBuffer frame;
    final double sendBy;
    boolean written;
    /** What had been read on its connection by the time it was written. */
    long heard;

    Call(String id, ByteBuffer frame, double sendBy) {
      this.id = id;
      this.frame = frame;
      this.sendBy = sendBy;
    }
  }

  /** One connection to a slot server. */
  private final class Link implements Connection.Owner {
    private final String server;
    private final HostPort at;
    private final FrameCodec codec = new FrameCodec();
    private final Map<AttemptId, Call> calls = new LinkedHashMap<>();
    private final Map<String, AttemptId> byId = new HashMap<>();
    /**
     * Guards against a late answer to an attempt given up that is taken for one to the next: both bear the part's id,
     * so the next goes over another connection. Bounded by forgetting the oldest.
     */
    private final Set<String> givenUp = new LinkedHashSet<>();
    /** Parts answered of late, by which a second copy of an answer is known for one. */
    private final Set<String> answered = new LinkedHashSet<>();
    private final Connection connection;
    private boolean up;
    private boolean over;
    private int frames;
    private long heard;
    private boolean left;
    private boolean released;
    private final double opened = clock.now();
    /** Ms that a word is allowed for its way to the server. */
    private double way;
    private double idleSince = opened;

    Link(String server, HostPort at) {
      this.server = server;
      this.at = at;
      connection = Connection.open(loop, at, connectTimeout, this, () -> {
        up = true;
        // No quicker than there and back, and often slower by far: with the work of both ends.
        way = Math.min(clock.now() - opened, WORD_SHARE * connectTimeout);
        List<AttemptId> tooLate = calls.entrySet().stream().filter(c -> clock.now() > c.getValue().sendBy)
            .map(Map.Entry::getKey).toList();
        endUnsent(tooLate);
        List.copyOf(calls.values()).forEach(this::write);
      });
      open++;
    }

    boolean idleTooLong() {
      return calls.isEmpty() && clock.now() - idleSince > idleAfter;
    }

    /** Guards against one answer taken for another: a part's name is used once on a connection. */
    boolean knows(String part) {
      return givenUp.contains(part) || byId.containsKey(part);
    }

    private void note(Set<String> names, String part, int most) {
      names.add(part);
      if (names.size() > most) {
        names.remove(names.iterator().next());
      }
    }

    void call(Effect.Start attempt, String id) {
      Call call = new Call(id, Frames.call(attempt, id), attempt.sendBy());
      calls.put(attempt.id(), call);
      byId.put(id, attempt.id());
      if (up) {
        write(call);
      }
    }

    private void write(Call call) {
      call.heard = heard;
      connection.write(call.frame, () -> call.written = true);
    }

    /** Whether not a byte of it has gone, and now none will. */
    boolean unsent(AttemptId attempt) {
      return !up || connection.takeBack(calls.get(attempt).frame);
    }

    void abandon(AttemptId attempt) {
      Call call = calls.get(attempt);
      if (unsent(attempt)) {
        remove(attempt);
        events.accept(new Event.Abandoned(attempt));
        return;
      }
      note(givenUp, call.id, MOST_GIVEN_UP);
      if (call.heard == heard) {
        // Guards against a connection that died without a word: nothing came over it since, so nothing new goes there.
        leave();
      }
      // Guards against a machine that takes nothing more: its connection ends, and what is out on it with that.
      loop.after(connectTimeout, () -> {
        if (calls.containsKey(attempt)) {
          close();
        }
      });
      // Guards against two attempts out at once: the next must not reach a server nearby ahead of this word, which is
      // under way for a while.
      connection.write(Frames.giveUp(call.id), () -> loop.after(way, () -> {
        if (calls.containsKey(attempt)) {
          remove(attempt);
          events.accept(new Event.Abandoned(attempt));
        }
      }));
    }

    /** Ends a connection that is not up yet, and what waits for it: nothing of that has gone, and none will. */
    private void withdraw() {
      List<AttemptId> waiting = List.copyOf(calls.keySet());
      waiting.forEach(this::remove);
      close();
      waiting.forEach(a -> events.accept(new Event.Ended(a, Outcome.MOOT, null)));
    }

    /** All of them first: whoever hears of one end may give up another. Told in a turn of their own, with no write between. */
    private void endUnsent(List<AttemptId> these) {
      these.forEach(this::remove);
      loop.execute(() -> these.forEach(a -> events.accept(new Event.Ended(a, Outcome.MOOT, null))));
    }

    private void remove(AttemptId attempt) {
      Call call = calls.remove(attempt);
      byId.remove(call.id, attempt);
      out.remove(attempt);
      idleSince = clock.now();
      if (left && calls.isEmpty()) {
        loop.execute(connection::close);
      }
    }

    void close() {
      leave();
      connection.close();
      release();
    }

    /**
     * Its descriptor is free from the close on. Guards against a server that counts as down since the end of the
     * connection that made room for one to it was not told yet.
     */
    private void release() {
      open -= released ? 0 : 1;
      released = true;
    }

    /** Nothing new goes over this connection. */
    private void leave() {
      left = true;
      List<Link> all = links.get(server);
      // Guards against the ends of parts that are never told: this is called again when the connection has closed.
      if (all != null && all.remove(this) && all.isEmpty()) {
        links.remove(server);
      }
    }

    /** What is read is dealt with as a whole: whether an answer stands depends on what is behind it. */
    @Override
    public void received(ByteBuffer bytes) {
      if (over) {
        return;
      }
      heard++;
      ByteBuffer all = bytes.duplicate();
      List<Event.Ended> ended = new ArrayList<>();
      String fault = null;
      try {
        codec.read(bytes, frame -> frame(frame, ended));
      } catch (IllegalArgumentException e) {
        fault = e.getMessage();
      }
      if (fault == null && calls.isEmpty() && !codec.idle()) {
        fault = "more than was asked for";
      }
      if (fault != null) {
        spoilt(fault, StandardCharsets.ISO_8859_1.decode(all).toString(), ended);
      } else if (!codec.idle()) {
        awaitRest(frames);
      }
      ended.forEach(events);
    }

    private void frame(FrameCodec.Frame frame, List<Event.Ended> ended) {
      frames++;
      switch (frame.letter()) {
        case '5' -> {
          Frames.Answer answer = Frames.answer(frame.rest());
          AttemptId attempt = byId.get(answer.id());
          if (attempt != null) {
            remove(attempt);
            note(answered, answer.id(), MOST_ANSWERED);
            ended.add(new Event.Ended(attempt, answer.outcome(), answer.value()));
          } else if (!givenUp.remove(answer.id()) && !answered.contains(answer.id())) {
            throw new IllegalArgumentException("an answer to what was not asked");
          }
        }
        case '3', '4' -> { }
        case 'X' -> throw new IllegalArgumentException(
            "a refusal of a frame: " + new String(frame.rest(), StandardCharsets.ISO_8859_1));
        default -> throw new IllegalArgumentException("a frame '" + frame.letter() + "'");
      }
    }

    /** Guards against an answer that begins and never ends, whatever its length says. */
    private void awaitRest(int before) {
      loop.after(FRAME_TIME, () -> {
        if (!over && frames == before && !codec.idle()) {
          List<Event.Ended> ended = new ArrayList<>();
          spoilt("a frame that does not end", "", ended);
          ended.forEach(events);
        }
      });
    }

    /**
     * Ends the connection, which is of no further use. Guards against a spoilt answer that costs more than its own
     * attempt: that one has failed, where it can be told; the others out here are taken back, which speaks against no
     * server; and an answer that came whole before, with nothing else asked, stands.
     */
    private void spoilt(String fault, String text, List<Event.Ended> ended) {
      LOG.log(Level.WARNING, server + " sent " + fault);
      List<AttemptId> left = List.copyOf(calls.keySet());
      List<AttemptId> named = left.stream().filter(a -> text.contains(calls.get(a).id + " ")).toList();
      AttemptId culprit = left.size() == 1 ? left.get(0) : named.size() == 1 ? named.get(0) : null;
      if (left.isEmpty() && !ended.isEmpty()) {
        Event.Ended last = ended.remove(ended.size() - 1);
        boolean cut = last.outcome() == Outcome.OK && !Frames.stands((PartValue) last.value());
        ended.add(cut ? new Event.Ended(last.attempt(), Outcome.ERROR, null) : last);
      }
      for (AttemptId a : left) {
        remove(a);
        ended.add(new Event.Ended(a, a.equals(culprit) ? Outcome.ERROR : Outcome.CANCELLED, null));
      }
      over = true;
      close();
    }

    @Override
    public void closed() {
      release();
      over = true;
      leave();
      Map<AttemptId, Call> left = new LinkedHashMap<>(calls);
      // All of them first: whoever hears of one end may give up another that was out here, and the rest must be told as well.
      left.keySet().forEach(this::remove);
      // Whether the last byte had gone decides if the part may have run.
      left.forEach((attempt, call) ->
          events.accept(new Event.Ended(attempt, call.written ? Outcome.RESET : Outcome.UNREACHABLE, null)));
    }
  }
}
