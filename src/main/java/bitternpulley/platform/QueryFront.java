package bitternpulley.platform;

import bitternpulley.broker.Broker;
import bitternpulley.broker.Dialect;
import bitternpulley.broker.Effect;
import bitternpulley.broker.Event;
import bitternpulley.broker.Payload;
import bitternpulley.broker.Request;
import bitternpulley.contracts.QueryFingerprint;
import bitternpulley.contracts.TenantIdentification;
import bitternpulley.net.HttpException;
import bitternpulley.net.HttpServer;
import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** The platform's client side: queries in, final answers out, and the probe for readiness. */
public final class QueryFront implements HttpServer.Handler {
  private static final JsonFactory JSON = new JsonFactory();

  private final Settings settings;
  private final Broker broker;
  private final Dialect servers;
  private final BooleanSupplier ready;
  private final Supplier<TenantIdentification> recognition;

  /** The ids of the requests without a final answer. */
  private final Set<String> open = new HashSet<>();

  /** {@code recognition} tells whose a query is, as the contracts in force have it. */
  public QueryFront(
      Settings settings,
      Broker broker,
      Dialect servers,
      BooleanSupplier ready,
      Supplier<TenantIdentification> recognition) {
    this.recognition = recognition;
    this.settings = settings;
    this.broker = broker;
    this.servers = servers;
    this.ready = ready;
  }

  @Override
  public void handle(HttpServer.Request request, HttpServer.Exchange exchange) {
    String path = request.head().target().split("\\?", 2)[0];
    if (path.startsWith("/-/")) {
      boolean good = path.equals("/-/healthy") || path.equals("/-/ready") && ready.getAsBoolean();
      exchange.reply(plain(good ? 200 : path.equals("/-/ready") ? 503 : 404, good ? "ok" : "no"));
      return;
    }
    try {
      PlatformQuery query = PlatformQuery.read(request, settings, exchange);
      if (!open.add(query.id())) {
        // Guards against two queries whose parts bear the same names: the slot servers would take
        // one for the other.
        throw new HttpException(409, "Request-Id is that of an open request");
      }
      long id = broker.nextId();
      exchange.onGone(
          () -> {
            open.remove(query.id());
            broker.submit(new Event.ClientDisconnected(id));
          });
      broker.submit(
          new Event.RequestReceived(
              new Request(
                  id,
                  servers,
                  query.requestClass(),
                  query.timeLeft(),
                  query.retry(),
                  Router.Terms.CLASS_DEFAULT,
                  query.slices(),
                  query,
                  recognition.get().byClass(query.requestClass()),
                  print(request.body(), query.requestClass()),
                  new Router.Lateness(request.unread(), request.worstTurn()))));
    } catch (HttpException e) {
      exchange.reply(unusable(e.status(), e.getMessage()));
    }
  }

  /**
   * What a try has in common with the one before it: class and body; 0 where nobody asks for it.
   */
  private long print(byte[] body, int requestClass) {
    return recognition.get() == TenantIdentification.NONE
        ? 0
        : QueryFingerprint.of(body, requestClass);
  }

  @Override
  public HttpServer.Response unusable(int status, String reason) {
    return plain(status, reason);
  }

  private static HttpServer.Response plain(int status, String text) {
    return new HttpServer.Response(
        status,
        Map.of("Content-Type", "text/plain; charset=utf-8"),
        text.getBytes(StandardCharsets.UTF_8));
  }

  /** Delivers a final answer. */
  public void reply(Effect.Reply reply) {
    PlatformQuery query = (PlatformQuery) reply.request().payload();
    open.remove(query.id());
    query.exchange().reply(response(reply));
  }

  private static HttpServer.Response response(Effect.Reply reply) {
    if (reply.answer() instanceof Effect.Answer.Answered a) {
      return new HttpServer.Response(
          200, Map.of("Content-Type", "application/json"), body(reply.request(), a));
    }
    if (reply.answer() instanceof Effect.Answer.Rejected r) {
      HttpServer.Response refusal =
          plain(
              429,
              r.contract() == null
                  ? "refused: asking again is harmless"
                  : "refused by contract "
                      + r.contract().team()
                      + ", version "
                      + r.contract().version()
                      + ": "
                      + r.contract().limit().text());
      return r.retryAfter() <= 0
          ? refusal
          : new HttpServer.Response(
              refusal.status(),
              Map.of("Retry-After", String.format(Locale.ROOT, "%.3f", r.retryAfter() / 1000)),
              refusal.body());
    }
    return plain(500, "failed");
  }

  private static byte[] body(Request request, Effect.Answer.Answered answer) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (JsonGenerator out = JSON.createGenerator(bytes)) {
      out.writeStartObject();
      out.writeBooleanField("entire", answer.complete());
      out.writeArrayFieldStart("items");
      for (Map.Entry<Integer, Payload> in : answer.values().entrySet()) {
        out.writeStartObject();
        out.writeNumberField("slice", request.parts().get(in.getKey()).shard());
        out.writeStringField("body", ((PartValue) in.getValue()).text());
        out.writeEndObject();
      }
      out.writeEndArray();
      out.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }
}
