package bitternpulley.platform;

import bitternpulley.broker.Payload;
import bitternpulley.broker.Request;
import bitternpulley.config.StrictJson;
import bitternpulley.net.HttpException;
import bitternpulley.net.HttpServer;
import bitternpulley.routing.Settings;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * A client's query as the platform words it, decoded once. {@code token} is null outside the keyed
 * classes.
 */
record PlatformQuery(
    String id,
    int requestClass,
    double timeLeft,
    boolean retry,
    String token,
    String filter,
    List<Request.QueryPart> slices,
    HttpServer.Exchange exchange)
    implements Payload {

  /**
   * Ids and tokens stand in the head line of a frame, which a server that cannot read it answers by
   * a close.
   */
  private static final Pattern WORD = Pattern.compile("[0-9A-Za-z_-]{1,64}");

  private static final Pattern SECONDS = Pattern.compile("[0-9]{1,6}(\\.[0-9]{1,9})?");

  /** What the weights of a query may differ from 1 by, for rounding. */
  private static final double ROUNDING = 0.001;

  /** Reads a request; throws HttpException with the status its sender is due. */
  static PlatformQuery read(
      HttpServer.Request in, Settings settings, HttpServer.Exchange exchange) {
    int requestClass = requestClass(in.head().target(), settings);
    if (!in.head().method().equals("POST")) {
      throw new HttpException(405, "a query is a POST");
    }
    Settings.QueryClass kind = settings.classes().get(requestClass);
    String token =
        kind.idempotency() == Settings.Idempotency.KEYED ? word(in, "Idempotency-Key") : null;
    JsonNode body = body(in.body());
    JsonNode filter = body.path("filter");
    require(filter.isTextual(), "'filter' is not text");
    return new PlatformQuery(
        word(in, "Request-Id"),
        requestClass,
        timeLeft(in, kind),
        "1".equals(in.head().header("Client-Retry")),
        token,
        filter.textValue(),
        slices(body.path("slices"), settings.layout().shards()),
        exchange);
  }

  private static int requestClass(String target, Settings settings) {
    String name = target.substring(1).split("[/?]", 2)[0];
    for (int i = 0; i < settings.classes().size(); i++) {
      if (settings.classes().get(i).name().equals(name)) {
        return i;
      }
    }
    throw new HttpException(404, "no class is called so");
  }

  private static String word(HttpServer.Request in, String header) {
    String value = in.head().header(header);
    require(value != null && WORD.matcher(value).matches(), header + " is missing or not one word");
    return value;
  }

  private static double timeLeft(HttpServer.Request in, Settings.QueryClass kind) {
    String seconds = in.head().header("Request-Timeout");
    if (seconds == null) {
      return kind.deadline();
    }
    require(SECONDS.matcher(seconds).matches(), "Request-Timeout is not a number of seconds");
    double ms = 1000 * Double.parseDouble(seconds);
    require(ms > 0, "Request-Timeout leaves no time");
    // Guards against a query that is held for as long as its client likes: no class's clients wait
    // beyond its deadline.
    return Math.min(ms, kind.deadline());
  }

  private static JsonNode body(byte[] bytes) {
    try {
      JsonNode body = StrictJson.read(bytes);
      require(body != null && body.isObject(), "the body is not a JSON object");
      return body;
    } catch (IOException e) {
      throw new HttpException(400, "the body is not JSON");
    }
  }

  private static List<Request.QueryPart> slices(JsonNode in, int shards) {
    require(in.isArray() && !in.isEmpty(), "'slices' is not a list of parts");
    List<Request.QueryPart> slices = new ArrayList<>();
    Set<Integer> seen = new HashSet<>();
    double sum = 0;
    for (JsonNode s : in) {
      JsonNode shard = s.path("slice");
      JsonNode mass = s.path("mass");
      require(
          shard.isInt() && shard.intValue() >= 0 && shard.intValue() < shards,
          "'slice' is no shard");
      require(seen.add(shard.intValue()), "a 'slice' comes twice");
      JsonNode work = s.path("micros");
      require(
          mass.isNumber() && mass.doubleValue() > 0 && mass.doubleValue() <= 1,
          "'mass' is not a weight");
      require(
          work.isMissingNode() || work.isNumber() && work.doubleValue() >= 0,
          "'micros' is not a time");
      sum += mass.doubleValue();
      slices.add(
          new Request.QueryPart(shard.intValue(), mass.doubleValue(), work.asDouble(0) / 1000));
    }
    require(Math.abs(sum - 1) <= ROUNDING, "the weights do not add up to 1");
    return List.copyOf(slices);
  }

  private static void require(boolean holds, String otherwise) {
    if (!holds) {
      throw new HttpException(400, otherwise);
    }
  }
}
