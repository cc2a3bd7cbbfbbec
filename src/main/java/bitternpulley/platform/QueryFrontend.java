package bitternpulley.platform;

import bitternpulley.broker.Broker;
import bitternpulley.broker.Effect;
import bitternpulley.broker.Event;
import bitternpulley.broker.ProtocolAdapter;
import bitternpulley.broker.Request;
import bitternpulley.contracts.QueryFingerprint;
import bitternpulley.contracts.TenantIdentification;
import bitternpulley.net.HttpException;
import bitternpulley.net.HttpServer;
import bitternpulley.routing.Router;
import bitternpulley.routing.Settings;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * The HTTP front end for queries in the platform's protocol: receives queries, delivers final
 * answers, and responds to health and readiness checks.
 */
public final class QueryFrontend implements HttpServer.Handler {
  private static final String INTERNAL_PATH_PREFIX = "/-/";
  private static final String HEALTH_PATH = "/-/healthy";
  private static final String READINESS_PATH = "/-/ready";

  private static final double MS_PER_SECOND = 1000;

  private final Settings settings;
  private final Broker broker;
  private final ProtocolAdapter servers;
  private final BooleanSupplier isReady;
  private final Supplier<TenantIdentification> tenantIdentification;

  private final RequestIds requestIds;

  /**
   * Creates a front end.
   *
   * @param settings the routing settings, which name the query classes
   * @param broker receives the requests
   * @param servers sends the attempts of the requests
   * @param isReady whether the readiness check succeeds
   * @param tenantIdentification returns the tenant identification of the contracts in force
   * @param requestIdMemory remembers the ids of requests, see {@link RequestIdMemory}
   */
  public QueryFrontend(
      Settings settings,
      Broker broker,
      ProtocolAdapter servers,
      BooleanSupplier isReady,
      Supplier<TenantIdentification> tenantIdentification,
      ByteBuffer requestIdMemory) {
    this.requestIds =
        new RequestIds(settings, new RequestIdTable(requestIdMemory, System::currentTimeMillis));
    this.settings = settings;
    this.broker = broker;
    this.servers = servers;
    this.isReady = isReady;
    this.tenantIdentification = tenantIdentification;
  }

  @Override
  public void handle(HttpServer.Request request, HttpServer.Exchange exchange) {
    String path = request.head().target().split("\\?", 2)[0];
    if (path.startsWith(INTERNAL_PATH_PREFIX)) {
      exchange.reply(checkResponse(path));
      return;
    }
    try {
      submit(request, exchange);
    } catch (HttpException failure) {
      exchange.reply(errorResponse(failure.status(), failure.getMessage()));
    }
  }

  private HttpServer.Response checkResponse(String path) {
    return switch (path) {
      case HEALTH_PATH -> plain(200, "ok");
      case READINESS_PATH -> isReady.getAsBoolean() ? plain(200, "ok") : plain(503, "no");
      default -> plain(404, "no");
    };
  }

  private void submit(HttpServer.Request request, HttpServer.Exchange exchange) {
    PlatformQuery query = QueryCodec.decode(request, settings, exchange);
    if (!requestIds.begin(query)) {
      throw new HttpException(409, "Request-Id is that of an earlier request");
    }
    long id = broker.nextRequestId();
    exchange.onDisconnect(
        () -> {
          requestIds.clientDisconnected(query);
          broker.submit(new Event.ClientDisconnected(id));
        });
    broker.submit(
        new Event.RequestReceived(
            new Request(
                id,
                servers,
                query.queryClass(),
                query.timeLeft(),
                query.retry(),
                Router.Terms.CLASS_DEFAULT,
                query.parts(),
                query,
                tenantIdentification.get().teamOfClass(query.queryClass()),
                fingerprint(request.body(), query.queryClass()),
                new Router.Lateness(request.unreadMs(), request.worstLagMs()))));
  }

  /**
   * Returns a hash of the query class and the body, which a retry has in common with the original
   * request; 0 if no tenants are identified.
   */
  private long fingerprint(byte[] body, int queryClass) {
    return tenantIdentification.get() == TenantIdentification.NONE
        ? 0
        : QueryFingerprint.of(body, queryClass);
  }

  @Override
  public HttpServer.Response errorResponse(int status, String reason) {
    return plain(status, reason);
  }

  private static HttpServer.Response plain(int status, String text) {
    return new HttpServer.Response(
        status,
        Map.of("Content-Type", "text/plain; charset=utf-8"),
        text.getBytes(StandardCharsets.UTF_8));
  }

  /** Delivers the final answer to the client. */
  public void reply(Effect.Reply reply) {
    PlatformQuery query = (PlatformQuery) reply.request().payload();
    requestIds.answered(query, reply.answer());
    query.exchange().reply(response(reply));
  }

  private static HttpServer.Response response(Effect.Reply reply) {
    if (reply.answer() instanceof Effect.Answer.Answered answered) {
      return new HttpServer.Response(
          200,
          Map.of("Content-Type", "application/json"),
          QueryCodec.encodeAnswer(reply.request(), answered));
    }
    if (reply.answer() instanceof Effect.Answer.Rejected rejected) {
      return rejection(rejected);
    }
    return plain(500, "failed");
  }

  private static HttpServer.Response rejection(Effect.Answer.Rejected rejected) {
    HttpServer.Response response = plain(429, rejectionText(rejected));
    if (rejected.retryAfter() <= 0) {
      return response;
    }
    String seconds = String.format(Locale.ROOT, "%.3f", rejected.retryAfter() / MS_PER_SECOND);
    return new HttpServer.Response(
        response.status(), Map.of("Retry-After", seconds), response.body());
  }

  private static String rejectionText(Effect.Answer.Rejected rejected) {
    if (rejected.contract() == null) {
      return "refused: asking again is harmless";
    }
    return "refused by contract "
        + rejected.contract().team()
        + ", version "
        + rejected.contract().version()
        + ": "
        + rejected.contract().limit().text();
  }
}
