package bitternpulley.platform;

import bitternpulley.broker.Effect;
import bitternpulley.broker.Payload;
import bitternpulley.broker.Request;
import bitternpulley.config.StrictJson;
import bitternpulley.net.HttpException;
import bitternpulley.net.HttpServer;
import bitternpulley.routing.Settings;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Decodes clients' queries and encodes the answers. The headers and JSON fields of the client
 * protocol are known only to this class.
 */
final class QueryCodec {
  private static final JsonFactory JSON = new JsonFactory();

  /**
   * Format of request ids and idempotency keys. They become part of the header lines in frames,
   * which allow no other characters.
   */
  private static final Pattern IDENTIFIER = Pattern.compile("[0-9A-Za-z_-]{1,64}");

  private static final Pattern SECONDS = Pattern.compile("[0-9]{1,6}(\\.[0-9]{1,9})?");

  private static final double MS_PER_SECOND = 1000;

  private static final double MICROS_PER_MS = 1000;

  /** Maximum difference between 1 and the sum of the weights of a query, to allow for rounding. */
  private static final double WEIGHT_SUM_TOLERANCE = 0.001;

  private QueryCodec() {}

  /**
   * Decodes a request.
   *
   * @throws HttpException with the status to respond with, if the request is not a valid query
   */
  static PlatformQuery decode(
      HttpServer.Request request, Settings settings, HttpServer.Exchange exchange) {
    int classIndex = queryClassIndex(request.head().target(), settings);
    if (!request.head().method().equals("POST")) {
      throw new HttpException(405, "a query is a POST");
    }
    Settings.QueryClass queryClass = settings.classes().get(classIndex);
    boolean isKeyed = queryClass.idempotency() == Settings.Idempotency.KEYED;
    String idempotencyKey = isKeyed ? identifierHeader(request, "Idempotency-Key") : null;
    JsonNode body = body(request.body());
    JsonNode filter = body.path("filter");
    require(filter.isTextual(), "'filter' is not text");
    return new PlatformQuery(
        identifierHeader(request, "Request-Id"),
        classIndex,
        timeLeft(request, queryClass),
        "1".equals(request.head().header("Client-Retry")),
        idempotencyKey,
        filter.textValue(),
        parts(body.path("slices"), settings.layout().shards()),
        exchange);
  }

  private static int queryClassIndex(String target, Settings settings) {
    String name = target.substring(1).split("[/?]", 2)[0];
    for (int index = 0; index < settings.classes().size(); index++) {
      if (settings.classes().get(index).name().equals(name)) {
        return index;
      }
    }
    throw new HttpException(404, "no class is called so");
  }

  private static String identifierHeader(HttpServer.Request request, String header) {
    String value = request.head().header(header);
    require(
        value != null && IDENTIFIER.matcher(value).matches(),
        header + " is missing or not one word");
    return value;
  }

  private static double timeLeft(HttpServer.Request request, Settings.QueryClass queryClass) {
    String seconds = request.head().header("Request-Timeout");
    if (seconds == null) {
      return queryClass.deadline();
    }
    require(SECONDS.matcher(seconds).matches(), "Request-Timeout is not a number of seconds");
    double timeLeft = MS_PER_SECOND * Double.parseDouble(seconds);
    require(timeLeft > 0, "Request-Timeout leaves no time");
    // A client must not keep its query pending beyond the deadline of the query class.
    return Math.min(timeLeft, queryClass.deadline());
  }

  private static JsonNode body(byte[] bytes) {
    try {
      JsonNode body = StrictJson.read(bytes);
      require(body != null && body.isObject(), "the body is not a JSON object");
      return body;
    } catch (IOException failure) {
      throw new HttpException(400, "the body is not JSON");
    }
  }

  private static List<Request.QueryPart> parts(JsonNode nodes, int shards) {
    require(nodes.isArray() && !nodes.isEmpty(), "'slices' is not a list of parts");
    List<Request.QueryPart> parts = new ArrayList<>();
    Set<Integer> seenShards = new HashSet<>();
    double weightSum = 0;
    for (JsonNode node : nodes) {
      Request.QueryPart part = part(node, shards, seenShards);
      weightSum += part.weight();
      parts.add(part);
    }
    require(Math.abs(weightSum - 1) <= WEIGHT_SUM_TOLERANCE, "the weights do not add up to 1");
    return List.copyOf(parts);
  }

  private static Request.QueryPart part(JsonNode node, int shards, Set<Integer> seenShards) {
    JsonNode shard = node.path("slice");
    JsonNode weight = node.path("mass");
    require(
        shard.isInt() && shard.intValue() >= 0 && shard.intValue() < shards, "'slice' is no shard");
    require(seenShards.add(shard.intValue()), "a 'slice' comes twice");
    JsonNode work = node.path("micros");
    require(
        weight.isNumber() && weight.doubleValue() > 0 && weight.doubleValue() <= 1,
        "'mass' is not a weight");
    require(
        work.isMissingNode() || (work.isNumber() && work.doubleValue() >= 0),
        "'micros' is not a time");
    return new Request.QueryPart(
        shard.intValue(), weight.doubleValue(), work.asDouble(0) / MICROS_PER_MS);
  }

  private static void require(boolean condition, String defect) {
    if (!condition) {
      throw new HttpException(400, defect);
    }
  }

  /** Encodes the body of an answer. */
  static byte[] encodeAnswer(Request request, Effect.Answer.Answered answer) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (JsonGenerator json = JSON.createGenerator(bytes)) {
      json.writeStartObject();
      json.writeBooleanField("entire", answer.complete());
      json.writeArrayFieldStart("items");
      for (Map.Entry<Integer, Payload> value : answer.values().entrySet()) {
        json.writeStartObject();
        json.writeNumberField("slice", request.parts().get(value.getKey()).shard());
        json.writeStringField("body", ((PartValue) value.getValue()).text());
        json.writeEndObject();
      }
      json.writeEndArray();
      json.writeEndObject();
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
    return bytes.toByteArray();
  }
}
