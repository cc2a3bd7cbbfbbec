package bitternpulley.opensearch;

import bitternpulley.broker.Effect;
import bitternpulley.net.HostPort;
import bitternpulley.net.HttpClient;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Encodes an attempt of a part as an HTTP request to its server. */
final class PartRequestEncoder {
  /** Names a part of a search; servers return it with their answer. */
  private static final String OPAQUE_ID = "X-Opaque-Id";

  private PartRequestEncoder() {}

  /** Returns the bytes of the request, head and body. */
  static ByteBuffer encode(Effect.StartAttempt attempt, HostPort address) {
    Search search = PendingSearch.of(attempt).search();
    Search.Part part = search.parts().get(attempt.partIndex());
    byte[] body = body(search, attempt.timeout());
    byte[] head = head(search, part, address, body.length).getBytes(StandardCharsets.US_ASCII);
    return ByteBuffer.allocate(head.length + body.length).put(head).put(body).flip();
  }

  /** Returns the matcher of the response to an attempt, by the id that the request carried. */
  static HttpClient.ResponseMatcher responseMatcher(Effect.StartAttempt attempt) {
    Search search = PendingSearch.of(attempt).search();
    String expected = opaqueId(search, search.parts().get(attempt.partIndex()));
    return head -> {
      String received = head.header(OPAQUE_ID);
      if (received == null) {
        return HttpClient.ResponseMatch.UNKNOWN;
      }
      return received.equals(expected)
          ? HttpClient.ResponseMatch.CONFIRMED
          : HttpClient.ResponseMatch.OTHER_REQUEST;
    };
  }

  private static String opaqueId(Search search, Search.Part part) {
    return search.id() + "." + partName(part);
  }

  private static String partName(Search.Part part) {
    return part.index() + "." + part.shard();
  }

  /** Returns the body of the search, which is a JSON object with fields, with the timeout added. */
  private static byte[] body(Search search, double timeoutMs) {
    String timeout = ",\"timeout\":\"" + Math.max(1, Math.round(timeoutMs)) + "ms\"}";
    int endOfFields = search.body().length - 1;
    return ByteBuffer.allocate(endOfFields + timeout.length())
        .put(search.body(), 0, endOfFields)
        .put(timeout.getBytes(StandardCharsets.US_ASCII))
        .array();
  }

  private static String head(Search search, Search.Part part, HostPort address, int contentLength) {
    return "POST /"
        + part.index()
        + "/_search?preference=_shards:"
        + part.shard()
        + "&allow_partial_search_results=false HTTP/1.1\r\n"
        + header("Host", address.toString())
        + header("Content-Type", "application/json")
        + header(OPAQUE_ID, opaqueId(search, part))
        + idempotencyKeyHeader(search, partName(part))
        + header("Content-Length", String.valueOf(contentLength))
        + "\r\n";
  }

  /**
   * Returns the header with the key of a part. Servers drop a request if they have already received
   * its key, so each part of a search has a key of its own, which all attempts of the part share.
   */
  private static String idempotencyKeyHeader(Search search, String partName) {
    return search.idempotencyKey() == null
        ? ""
        : header("Idempotency-Key", search.idempotencyKey() + "." + partName);
  }

  private static String header(String name, String value) {
    return name + ": " + value + "\r\n";
  }
}
