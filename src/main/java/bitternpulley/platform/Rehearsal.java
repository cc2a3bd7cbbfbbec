package bitternpulley.platform;

import bitternpulley.broker.Broker;
import bitternpulley.broker.Dialect;
import bitternpulley.broker.Effect;
import bitternpulley.broker.Event;
import bitternpulley.broker.Reducer;
import bitternpulley.contracts.TenantIdentification;
import bitternpulley.net.EventLoop;
import bitternpulley.net.FrameCodec;
import bitternpulley.net.HttpHead;
import bitternpulley.net.HttpParser;
import bitternpulley.net.HttpServer;
import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Plays made-up queries through decoding, core, module and encoding before the program says that it
 * is ready. Guards against a start in which the first seconds' queries wait for classes to load and
 * code to be compiled, on a part of a core. All of it has a core, a clock and servers of its own,
 * which are thrown away: nothing goes over a socket, and nothing is learned from it.
 */
public final class Rehearsal implements Dialect {
  /** Queries played, and the ms after which no more are begun, however many were played. */
  private static final int QUERIES = 150;

  private static final double MOST_TIME = 600;

  /**
   * Queries played where very many aggregators share the traffic: each has little of it, and is
   * missed until it is ready.
   */
  private static final int QUERIES_OF_MANY = 20;

  /**
   * The same beside what is served, one at a time with so many ms between: such an aggregator is
   * idle most of the time.
   */
  private static final int QUERIES_BESIDE = 200;

  private static final double PAUSE_BESIDE = 20;

  /** Each so many-th query is as long as clients can send one. */
  private static final int WIDE = 10;

  /** Queries played before others on the loop get their turn. */
  private static final int AT_ONCE = 5;

  /** Ms of the made-up clock between queries. */
  private static final double STEP = 20;

  private static final int MOST_PARTS = 8;

  /** The settings give room for three of the longest queries, each counted with its parts. */
  private static final int LONGEST_HELD = 3;

  /** Bytes that one part takes in a body, at the most, and that the rest of it takes. */
  private static final int PART_BYTES = 64;

  private static final int REST_BYTES = 64;

  /** Each so many-th attempt fails at once, is refused, or gets no answer. */
  private static final int FAILS = 13;

  private static final int FULL = 19;
  private static final int SILENT = 17;

  private record Alarm(double at, Runnable task) {}

  private static final System.Logger LOG = System.getLogger(Rehearsal.class.getName());

  private final Settings settings;
  private final int mostBody;
  private final EventLoop loop;
  private final Broker broker;
  private final QueryFront front;
  private final PriorityQueue<Alarm> alarms =
      new PriorityQueue<>(Comparator.comparingDouble(Alarm::at));
  private final List<Effect.StartAttempt> out = new ArrayList<>();
  private double time = 1;

  /**
   * Whether what is played takes time from clients that are served: long queries are left out then.
   */
  private boolean beside;

  private int played;
  private int attempts;
  private int answered;

  /** Made-up queries under these settings, with bodies of so many bytes at the most. */
  public Rehearsal(Settings settings, int mostBody, EventLoop loop) {
    this.settings = settings;
    this.mostBody = mostBody;
    this.loop = loop;
    broker =
        new Broker(
            new Reducer(settings, 1, time),
            () -> time,
            (ms, task) -> alarms.add(new Alarm(time + ms, task)));
    front = new QueryFront(settings, broker, this, () -> false, () -> TenantIdentification.NONE);
    broker.addDialect(this);
    broker.submit(
        new Event.ServersChanged(
            Router.ListKind.REMEMBERED,
            IntStream.range(0, settings.layout().cells())
                .mapToObj(c -> new Router.Endpoint("r" + c, c % 2, c, Router.ServerState.LIVE, 0))
                .toList()));
  }

  /**
   * Plays a few queries at a time, fewer where there are {@code many} aggregators; {@code done}
   * runs once all are played or the time is up.
   */
  public void play(boolean many, Runnable done) {
    long end = System.nanoTime() + (long) (MOST_TIME * 1e6);
    playSome(many ? QUERIES_OF_MANY : QUERIES, end, done);
  }

  private void playSome(int most, long end, Runnable done) {
    boolean plays = true;
    for (int i = 0; i < AT_ONCE && plays; i++) {
      plays = playedOne();
    }
    if (plays && played < most && System.nanoTime() < end) {
      // Guards against a watch that is not heard until all is played: what is executed in a turn
      // belongs to that turn.
      loop.after(0, () -> playSome(most, end, done));
    } else {
      done.run();
    }
  }

  /** Plays on in small turns while the program serves, until its code is compiled. */
  public void goOn() {
    beside = true;
    if (played < QUERIES_BESIDE && playedOne()) {
      loop.after(PAUSE_BESIDE, this::goOn);
    }
  }

  /** Queries answered so far, of {@link #played}. */
  int answered() {
    return answered;
  }

  int played() {
    return played;
  }

  /**
   * Guards against an aggregator that never becomes ready, or a turn that ends early, by a fault of
   * what is made up.
   */
  private boolean playedOne() {
    try {
      playOne();
      return true;
    } catch (RuntimeException e) {
      LOG.log(Level.WARNING, "the rehearsal ends early, at query " + played, e);
      return false;
    }
  }

  /** One query, and the ends of the attempts that it set off. */
  void playOne() {
    HttpParser parser = new HttpParser(false, mostBody, new Sink());
    parser.read(ByteBuffer.wrap(query(played++).getBytes(StandardCharsets.US_ASCII)));
    time += STEP;
    while (!alarms.isEmpty() && alarms.peek().at() <= time) {
      alarms.poll().task().run();
    }
    List<Effect.StartAttempt> sent = List.copyOf(out);
    out.clear();
    sent.forEach(this::end);
  }

  private String query(int n) {
    Settings.QueryClass kind = settings.classes().get(n % settings.classes().size());
    int shards = settings.layout().shards();
    int parts = n % WIDE == WIDE - 1 && !beside ? widest() : Math.min(1 + n % MOST_PARTS, shards);
    String slices =
        IntStream.range(0, parts)
            .mapToObj(i -> "{\"slice\":" + (n + i) % shards + ",\"mass\":" + 1.0 / parts + "}")
            .collect(Collectors.joining(","));
    String body = "{\"slices\":[" + slices + "],\"filter\":\"c41e77d0\"}";
    return "POST /"
        + kind.name()
        + " HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: r"
        + n
        + "\r\nCookie: obj="
        + n
        + "\r\nRequest-Timeout: "
        + kind.deadline() / 1000
        + "\r\nIdempotency-Key: k"
        + n
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  /**
   * Parts of the longest query that clients can send: each section once, held three times, in a
   * body that is taken.
   */
  int widest() {
    long held = settings.limits().maxPending() / LONGEST_HELD - 1;
    long fits = (mostBody - REST_BYTES) / PART_BYTES;
    return (int) Math.max(1, Math.min(settings.layout().shards(), Math.min(held, fits)));
  }

  private void end(Effect.StartAttempt attempt) {
    attempts++;
    String id = SlotFrames.partId(attempt);
    SlotFrames.call(List.of(SlotFrames.callLine(attempt, id)));
    if (attempts % SILENT == 0) {
      return;
    }
    String end = attempts % FAILS == 0 ? "E" : attempts % FULL == 0 ? "B" : "S";
    ByteBuffer frame =
        FrameCodec.encode(
            '5', (id + " " + end + " 0 -\n5be2a07c19f04d63").getBytes(StandardCharsets.US_ASCII));
    new FrameCodec()
        .read(
            frame,
            f -> {
              SlotFrames.Answer answer = SlotFrames.answer(f.rest());
              broker.submit(new Event.AttemptEnded(attempt.id(), answer.outcome(), answer.value()));
            });
  }

  @Override
  public void start(Effect.StartAttempt attempt) {
    out.add(attempt);
  }

  @Override
  public void cancel(Effect.CancelAttempt attempt) {
    SlotFrames.giveUp(String.valueOf(attempt.id().part()));
    broker.submit(new Event.AttemptCancelled(attempt.id()));
  }

  @Override
  public void reply(Effect.Reply reply) {
    front.reply(reply);
  }

  @Override
  public void cancelUnsentTo(String server) {
    // Its servers never drain.
  }

  @Override
  public void cancelUnsent(Effect.CancelUnsent attempt) {
    // Nothing waits to be sent.
  }

  @Override
  public void closeIdleConnections(String server) {
    // There are no connections.
  }

  /** Hands each query on as the listener would. */
  private final class Sink implements HttpParser.Sink, HttpServer.Exchange {
    private HttpHead head;
    private byte[] body = new byte[0];

    @Override
    public void head(HttpHead head) {
      this.head = head;
    }

    @Override
    public void body(ByteBuffer piece) {
      body = new byte[piece.remaining()];
      piece.get(body);
    }

    @Override
    public void end() {
      front.handle(new HttpServer.Request(head, body), this);
    }

    @Override
    public void reply(HttpServer.Response response) {
      answered += response.status() == 200 ? 1 : 0;
    }

    @Override
    public void onGone(Runnable gone) {
      // Its clients stay.
    }
  }
}
