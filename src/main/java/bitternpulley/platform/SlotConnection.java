package bitternpulley.platform;

import bitternpulley.broker.AttemptId;
import bitternpulley.broker.Clock;
import bitternpulley.broker.Effect;
import bitternpulley.broker.Event;
import bitternpulley.net.Connection;
import bitternpulley.net.EventLoop;
import bitternpulley.net.FrameCodec;
import bitternpulley.net.HostPort;
import bitternpulley.routing.Router.Outcome;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One connection to a slot server: the calls that are out on it, each of one part or more, and what
 * the server sends back. Its owner is told of each attempt's end exactly once.
 */
final class SlotConnection implements Connection.Owner {
  private static final System.Logger LOG = System.getLogger(SlotConnection.class.getName());

  /** Parts given up, and parts answered, that a connection remembers by name. */
  private static final int MOST_GIVEN_UP = 256;

  private static final int MOST_ANSWERED = 32;

  /** Ms that a frame may take to come in whole once it has begun. */
  private static final double FRAME_TIME = 300;

  /**
   * Share of the time to connect that the word of a part given up is allowed at most for its way.
   */
  private static final double WORD_SHARE = 0.1;

  /**
   * The time that connections go by, and the most that one may take to come up or to lie idle, ms.
   */
  record Times(Clock clock, double connectTimeout, double idleAfter) {}

  /** Parts that went, or wait to go, in one frame. */
  private static final class Call {
    final Map<AttemptId, PartCall> parts = new LinkedHashMap<>();
    ByteBuffer frame;
    boolean written;

    /** Count of what had been read on the connection when the frame was handed over for writing. */
    long heard;
  }

  /** One part of a call. */
  private record PartCall(Call call, Effect.StartAttempt start, String id, byte[] line) {}

  private final EventLoop loop;
  private final Times times;
  private final SlotConnectionOwner owner;
  private final String server;
  private final HostPort at;
  private final FrameCodec codec = new FrameCodec();
  private final Map<AttemptId, PartCall> parts = new LinkedHashMap<>();
  private final Map<String, AttemptId> byId = new HashMap<>();
  private final Set<Call> calls = new LinkedHashSet<>();

  /**
   * Guards against a late answer to an attempt given up that is taken for one to the next: both
   * bear the part's id, so the next goes over another connection. Bounded by forgetting the oldest.
   */
  private final BoundedRecentSet givenUp = new BoundedRecentSet(MOST_GIVEN_UP);

  /** Parts answered of late, by which a second copy of an answer is known for one. */
  private final BoundedRecentSet answered = new BoundedRecentSet(MOST_ANSWERED);

  private final Connection connection;
  private boolean up;
  private boolean over;
  private int frames;
  private long heard;
  private boolean left;
  private boolean released;
  private final double opened;

  /** Ms that a word is allowed for its way to the server. */
  private double way;

  private double idleSince;

  /** Begins to connect; throws UncheckedIOException where not even a socket can be had. */
  SlotConnection(
      EventLoop loop, Times times, SlotConnectionOwner owner, String server, HostPort at) {
    this.loop = loop;
    this.times = times;
    this.owner = owner;
    this.server = server;
    this.at = at;
    opened = times.clock().now();
    idleSince = opened;
    connection = Connection.open(loop, at, times.connectTimeout(), this, this::connected);
  }

  private void connected() {
    up = true;
    // No quicker than there and back, and often slower by far: with the work of both ends.
    way = Math.min(times.clock().now() - opened, WORD_SHARE * times.connectTimeout());
    List.copyOf(calls).forEach(this::send);
  }

  /** Guards against a repeat that goes after its window is over, having waited for a connection. */
  private void send(Call call) {
    double now = times.clock().now();
    List<AttemptId> tooLate =
        call.parts.entrySet().stream()
            .filter(p -> now > p.getValue().start().sendBy())
            .map(Map.Entry::getKey)
            .toList();
    tooLate.forEach(this::remove);
    tellUnsent(tooLate);
    if (!call.parts.isEmpty()) {
      write(call);
    }
  }

  String server() {
    return server;
  }

  boolean isUp() {
    return up;
  }

  boolean isIdle() {
    return parts.isEmpty();
  }

  double idleSince() {
    return idleSince;
  }

  /** Parts out. */
  int parts() {
    return parts.size();
  }

  /** Calls with parts out. */
  int calls() {
    return calls.size();
  }

  boolean idleTooLong() {
    return isIdle() && times.clock().now() - idleSince > times.idleAfter();
  }

  /**
   * Whether a call of these parts may go over it. Guards against one answer taken for another: a
   * part's name is used once.
   */
  boolean suits(HostPort to, List<String> names) {
    return at.equals(to)
        && !connection.isClosed()
        && names.stream().noneMatch(n -> givenUp.contains(n) || byId.containsKey(n));
  }

  /** Sends these attempts as one call, once the connection is up. */
  void call(List<Effect.StartAttempt> attempts) {
    Call call = new Call();
    for (Effect.StartAttempt a : attempts) {
      String id = SlotFrames.partId(a);
      PartCall part = new PartCall(call, a, id, SlotFrames.callLine(a, id));
      call.parts.put(a.id(), part);
      parts.put(a.id(), part);
      byId.put(id, a.id());
    }
    calls.add(call);
    if (up) {
      send(call);
    }
  }

  private void write(Call call) {
    call.heard = heard;
    call.frame = SlotFrames.call(call.parts.values().stream().map(PartCall::line).toList());
    connection.write(call.frame, () -> call.written = true);
  }

  /**
   * Takes the attempt out of what waits to be written; false where a byte of its call may have
   * gone.
   */
  private boolean takeOut(AttemptId attempt) {
    Call call = parts.get(attempt).call();
    if (up && !connection.takeBack(call.frame)) {
      return false;
    }
    remove(attempt);
    if (up && !call.parts.isEmpty()) {
      write(call);
    }
    return true;
  }

  /** Ends the attempt if not a byte of it has gone; now none will. */
  void takeBack(AttemptId attempt) {
    if (takeOut(attempt)) {
      tellUnsent(List.of(attempt));
    }
  }

  /**
   * Gives an attempt up; {@link Event.AttemptCancelled} is told once the server has had time to
   * hear of it.
   */
  void abandon(AttemptId attempt) {
    PartCall part = parts.get(attempt);
    if (takeOut(attempt)) {
      owner.tell(new Event.AttemptCancelled(attempt));
      return;
    }
    givenUp.add(part.id());
    if (part.call().heard == heard) {
      // Guards against a connection that died without a word: nothing came over it since, so
      // nothing new goes there.
      leave();
    }
    // Guards against a machine that takes nothing more: its connection ends, and what is out on it
    // with that.
    loop.after(
        times.connectTimeout(),
        () -> {
          if (parts.containsKey(attempt)) {
            close();
          }
        });
    // Guards against two attempts out at once: the next must not reach a server nearby ahead of
    // this word, which is
    // under way for a while.
    connection.write(
        SlotFrames.giveUp(part.id()),
        () ->
            loop.after(
                way,
                () -> {
                  if (parts.containsKey(attempt)) {
                    remove(attempt);
                    owner.tell(new Event.AttemptCancelled(attempt));
                  }
                }));
  }

  /**
   * Ends a connection that is not up yet, and what waits for it: nothing of that has gone, and none
   * will.
   */
  void withdraw() {
    List<AttemptId> waiting = List.copyOf(parts.keySet());
    waiting.forEach(this::remove);
    close();
    waiting.forEach(a -> owner.tell(new Event.AttemptEnded(a, Outcome.NOT_SENT, null)));
  }

  /**
   * Told in a turn of their own, with no write between: whoever hears of one end may give up
   * another.
   */
  private void tellUnsent(List<AttemptId> these) {
    if (these.isEmpty()) {
      return;
    }
    loop.execute(
        () -> these.forEach(a -> owner.tell(new Event.AttemptEnded(a, Outcome.NOT_SENT, null))));
  }

  private void remove(AttemptId attempt) {
    PartCall part = parts.remove(attempt);
    part.call().parts.remove(attempt);
    if (part.call().parts.isEmpty()) {
      calls.remove(part.call());
    }
    byId.remove(part.id(), attempt);
    owner.removed(attempt);
    idleSince = times.clock().now();
    if (left && isIdle()) {
      loop.execute(connection::close);
    }
  }

  void close() {
    leave();
    connection.close();
    release();
  }

  /**
   * Its descriptor is free from the close on. Guards against a server that counts as down since the
   * end of the connection that made room for one to it was not told yet.
   */
  private void release() {
    if (!released) {
      released = true;
      owner.released();
    }
  }

  /** Nothing new goes over this connection. */
  private void leave() {
    left = true;
    owner.left(this);
  }

  /**
   * What is read is dealt with as a whole: whether an answer stands depends on what is behind it.
   */
  @Override
  public void received(ByteBuffer bytes) {
    if (over) {
      return;
    }
    heard++;
    ByteBuffer all = bytes.duplicate();
    List<Event.AttemptEnded> ended = new ArrayList<>();
    String fault = null;
    try {
      codec.read(bytes, frame -> frame(frame, ended));
    } catch (IllegalArgumentException e) {
      fault = e.getMessage();
    }
    if (fault == null && isIdle() && !codec.idle()) {
      fault = "more than was asked for";
    }
    if (fault != null) {
      spoilt(fault, StandardCharsets.ISO_8859_1.decode(all).toString(), ended);
    } else if (!codec.idle()) {
      awaitRest(frames);
    }
    ended.forEach(owner::tell);
  }

  private void frame(FrameCodec.Frame frame, List<Event.AttemptEnded> ended) {
    frames++;
    switch (frame.letter()) {
      case '5' -> {
        SlotFrames.Answer answer = SlotFrames.answer(frame.rest());
        AttemptId attempt = byId.get(answer.id());
        if (attempt != null) {
          remove(attempt);
          answered.add(answer.id());
          ended.add(new Event.AttemptEnded(attempt, answer.outcome(), answer.value()));
        } else if (!givenUp.remove(answer.id()) && !answered.contains(answer.id())) {
          throw new IllegalArgumentException("an answer to what was not asked");
        }
      }
      case '3', '4' -> {}
      case 'X' ->
          throw new IllegalArgumentException(
              "a refusal of a frame: " + new String(frame.rest(), StandardCharsets.ISO_8859_1));
      default -> throw new IllegalArgumentException("a frame '" + frame.letter() + "'");
    }
  }

  /** Guards against an answer that begins and never ends, whatever its length says. */
  private void awaitRest(int before) {
    loop.after(
        FRAME_TIME,
        () -> {
          if (!over && frames == before && !codec.idle()) {
            List<Event.AttemptEnded> ended = new ArrayList<>();
            spoilt("a frame that does not end", "", ended);
            ended.forEach(owner::tell);
          }
        });
  }

  /**
   * Ends the connection, which is of no further use. Guards against a spoilt answer that costs more
   * than its own attempt: that one has failed, where it can be told; the others out here are taken
   * back, which speaks against no server; and an answer that came whole before, with nothing else
   * asked, stands.
   */
  private void spoilt(String fault, String text, List<Event.AttemptEnded> ended) {
    LOG.log(Level.WARNING, server + " sent " + fault);
    List<AttemptId> remaining = List.copyOf(parts.keySet());
    List<AttemptId> named =
        remaining.stream().filter(a -> text.contains(parts.get(a).id() + " ")).toList();
    AttemptId culprit =
        remaining.size() == 1 ? remaining.get(0) : named.size() == 1 ? named.get(0) : null;
    if (remaining.isEmpty() && !ended.isEmpty()) {
      Event.AttemptEnded last = ended.remove(ended.size() - 1);
      boolean cut = last.outcome() == Outcome.OK && !SlotFrames.stands((PartValue) last.value());
      ended.add(cut ? new Event.AttemptEnded(last.attempt(), Outcome.ERROR, null) : last);
    }
    for (AttemptId a : remaining) {
      remove(a);
      ended.add(
          new Event.AttemptEnded(a, a.equals(culprit) ? Outcome.ERROR : Outcome.CANCELLED, null));
    }
    over = true;
    close();
  }

  @Override
  public void closed() {
    release();
    over = true;
    leave();
    if (!up && wasRefused() && handedOver()) {
      return;
    }
    Map<AttemptId, PartCall> remaining = new LinkedHashMap<>(parts);
    // All of them first: whoever hears of one end may give up another that was out here, and the
    // rest must be told as well.
    remaining.keySet().forEach(this::remove);
    // Whether the last byte had gone decides if the part may have run.
    remaining.forEach(
        (attempt, part) ->
            owner.tell(
                new Event.AttemptEnded(
                    attempt, part.call().written ? Outcome.RESET : Outcome.UNREACHABLE, null)));
  }

  /**
   * A process that does not run, or holds no more connections, says so at once; what takes longer
   * is the way or the handshake.
   */
  private boolean wasRefused() {
    return times.clock().now() - opened < times.connectTimeout() / 2;
  }

  private boolean handedOver() {
    List<List<Effect.StartAttempt>> waiting =
        calls.stream().map(c -> c.parts.values().stream().map(PartCall::start).toList()).toList();
    if (waiting.isEmpty() || !owner.takeOver(this, waiting)) {
      return false;
    }
    parts.clear();
    byId.clear();
    calls.clear();
    return true;
  }
}
