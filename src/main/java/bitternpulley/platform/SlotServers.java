package bitternpulley.platform;

import bitternpulley.policy.Router.Outcome;
import bitternpulley.broker.AttemptId;
import bitternpulley.broker.Broker;
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
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** The platform's way to the slot servers: frames over a few connections to each, many parts on one. */
public final class SlotServers implements Dialect {
  private static final System.Logger LOG = System.getLogger(SlotServers.class.getName());

  private static final int MOST_GIVEN_UP = 1000;

  private final EventLoop loop;
  private final Broker broker;
  private final int streams;
  private final double idleAfter;
  private final double connectTimeout;
  private final int mostLinks;
  private final Map<String, HostPort> addresses = new HashMap<>();
  private final Map<String, List<Link>> links = new HashMap<>();
  private final Map<AttemptId, Link> out = new HashMap<>();
  private Consumer<Effect.Reply> answers;
  private int open;

  public SlotServers(
      EventLoop loop, Broker broker, Configuration.Wire wire, double connectTimeout, int mostLinks) {
    this.loop = loop;
    this.broker = broker;
    this.streams = wire.streams();
    this.idleAfter = wire.idleAfter();
    this.connectTimeout = connectTimeout;
    this.mostLinks = mostLinks;
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
      loop.execute(() -> broker.submit(new Event.Ended(attempt.id(), Outcome.UNREACHABLE, null)));
      return;
    }
    out.put(attempt.id(), link);
    link.call(attempt, part);
  }

  /** A connection with room, else a fresh one; null where no more may be opened. */
  private Link link(String server, HostPort at, String part) {
    List<Link> all = links.computeIfAbsent(server, s -> new ArrayList<>());
    for (Link l : all) {
      if (l.calls.size() < streams && l.at.equals(at) && !l.connection.isClosed() && !l.givenUp.contains(part)) {
        return l;
      }
    }
    if (open >= mostLinks) {
      LOG.log(Level.WARNING, "no descriptor to spare for another connection to " + server);
      return null;
    }
    try {
      Link fresh = new Link(server, at);
      all.add(fresh);
      return fresh;
    } catch (UncheckedIOException e) {
      // Guards against an attempt that never ends because not even a socket could be had for it.
      LOG.log(Level.WARNING, "no socket for " + server + ": " + e.getMessage());
      return null;
    }
  }

  @Override
  public void abandon(Effect.Abandon attempt) {
    Link link = out.get(attempt.id());
    if (link != null) {
      link.abandon(attempt.id());
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
    boolean written;

    Call(String id, ByteBuffer frame) {
      this.id = id;
      this.frame = frame;
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
    private final Connection connection;
    private boolean up;
    private int uses;

    Link(String server, HostPort at) {
      this.server = server;
      this.at = at;
      connection = Connection.open(loop, at, connectTimeout, this, () -> {
        up = true;
        List.copyOf(calls.values()).forEach(this::write);
      });
      open++;
    }

    void call(Effect.Start attempt, String id) {
      uses++;
      Call call = new Call(id, Frames.call(attempt, id));
      calls.put(attempt.id(), call);
      byId.put(id, attempt.id());
      if (up) {
        write(call);
      }
    }

    private void write(Call call) {
      connection.write(call.frame, () -> call.written = true);
    }

    void abandon(AttemptId attempt) {
      Call call = calls.get(attempt);
      if (!up) {
        // Not a byte of it has gone, and none will.
        remove(attempt);
        broker.submit(new Event.Abandoned(attempt));
        return;
      }
      givenUp.add(call.id);
      if (givenUp.size() > MOST_GIVEN_UP) {
        givenUp.remove(givenUp.iterator().next());
      }
      // Guards against a machine that takes nothing more: its connection ends, and what is out on it with that.
      loop.after(connectTimeout, () -> {
        if (calls.containsKey(attempt)) {
          close();
        }
      });
      connection.write(Frames.giveUp(call.id), () -> {
        // The end counts only now: the next attempt must not reach a server ahead of this word.
        if (calls.containsKey(attempt)) {
          remove(attempt);
          broker.submit(new Event.Abandoned(attempt));
        }
      });
    }

    private Call remove(AttemptId attempt) {
      Call call = calls.remove(attempt);
      byId.remove(call.id, attempt);
      out.remove(attempt);
      if (calls.isEmpty()) {
        int before = uses;
        loop.after(idleAfter, () -> {
          if (uses == before && calls.isEmpty()) {
            close();
          }
        });
      }
      return call;
    }

    void close() {
      links.getOrDefault(server, List.of()).remove(this);
      connection.close();
    }

    @Override
    public void received(ByteBuffer bytes) {
      try {
        codec.read(bytes, this::frame);
      } catch (IllegalArgumentException e) {
        // Guards against garbage: it ends this connection and nothing else.
        LOG.log(Level.WARNING, server + " sent what cannot be used: " + e.getMessage());
        close();
      }
    }

    private void frame(FrameCodec.Frame frame) {
      switch (frame.letter()) {
        case '5' -> ended(frame.rest());
        case '3', '4' -> { }
        case 'X' -> {
          LOG.log(Level.WARNING, server + " refuses a frame: " + new String(frame.rest(), StandardCharsets.UTF_8));
          close();
        }
        default -> throw new IllegalArgumentException("a frame '" + frame.letter() + "'");
      }
    }

    private void ended(byte[] rest) {
      Frames.Answer answer = Frames.answer(rest);
      AttemptId attempt = byId.get(answer.id());
      if (attempt == null) {
        return; // given up before; the answer crossed our word
      }
      remove(attempt);
      broker.submit(new Event.Ended(attempt, answer.outcome(), answer.value()));
    }

    @Override
    public void closed() {
      open--;
      links.getOrDefault(server, List.of()).remove(this);
      Map<AttemptId, Call> left = new LinkedHashMap<>(calls);
      left.forEach((attempt, call) -> {
        remove(attempt);
        // Whether the last byte had gone decides if the part may have run.
        broker.submit(new Event.Ended(attempt, call.written ? Outcome.RESET : Outcome.UNREACHABLE, null));
      });
    }
  }
}
