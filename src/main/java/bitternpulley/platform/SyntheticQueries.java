package bitternpulley.platform;

import bitternpulley.routing.Settings;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Generates the text of well-formed HTTP requests, like those of the platform's clients. */
final class SyntheticQueries {
  /** One in this many queries has the largest number of parts that a client can send. */
  private static final int LARGEST_QUERY_INTERVAL = 10;

  /** Maximum number of parts of the other queries. */
  private static final int MAX_SMALL_QUERY_PARTS = 8;

  /**
   * The limit of pending queries, counted by parts, has capacity for this many of the largest
   * queries.
   */
  private static final int LARGEST_QUERIES_PENDING = 3;

  /** Maximum size of one part in a body, in bytes. */
  private static final int MAX_PART_BYTES = 64;

  /** Maximum size of the rest of a body, in bytes. */
  private static final int MAX_OTHER_BODY_BYTES = 64;

  private static final double MS_PER_SECOND = 1000;

  private final Settings settings;
  private final int maxBodyBytes;

  /** Creates a generator for these settings, with a maximum size of the bodies. */
  SyntheticQueries(Settings settings, int maxBodyBytes) {
    this.settings = settings;
    this.maxBodyBytes = maxBodyBytes;
  }

  /** Returns the query with this number; some are as large as a client can send. */
  String query(int number) {
    boolean isLargest = number % LARGEST_QUERY_INTERVAL == LARGEST_QUERY_INTERVAL - 1;
    return isLargest ? request(number, maxParts()) : smallQuery(number);
  }

  /** Returns the query with this number, with only a few parts. */
  String smallQuery(int number) {
    int partCount = Math.min(1 + number % MAX_SMALL_QUERY_PARTS, settings.layout().shards());
    return request(number, partCount);
  }

  /**
   * Returns the number of parts of the largest query that a client can send: at most one part for
   * each shard, in a body of accepted size, within the limit of pending queries.
   */
  int maxParts() {
    int pendingLimit = settings.limits().maxPending() / LARGEST_QUERIES_PENDING - 1;
    int bodyLimit = (maxBodyBytes - MAX_OTHER_BODY_BYTES) / MAX_PART_BYTES;
    return Math.max(1, Math.min(settings.layout().shards(), Math.min(pendingLimit, bodyLimit)));
  }

  private String request(int number, int partCount) {
    Settings.QueryClass queryClass = settings.classes().get(number % settings.classes().size());
    String body = body(number, partCount);
    return "POST /"
        + queryClass.name()
        + " HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: r"
        + number
        + "\r\nCookie: obj="
        + number
        + "\r\nRequest-Timeout: "
        + queryClass.deadline() / MS_PER_SECOND
        + "\r\nIdempotency-Key: k"
        + number
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private String body(int number, int partCount) {
    int shards = settings.layout().shards();
    String partList =
        IntStream.range(0, partCount)
            .mapToObj(
                part ->
                    "{\"slice\":" + (number + part) % shards + ",\"mass\":" + 1.0 / partCount + "}")
            .collect(Collectors.joining(","));
    return "{\"slices\":[" + partList + "],\"filter\":\"c41e77d0\"}";
  }
}
