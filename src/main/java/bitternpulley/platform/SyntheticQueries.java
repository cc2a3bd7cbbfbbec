package bitternpulley.platform;

import bitternpulley.routing.Settings;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Generates well-formed queries, as clients of the platform would send them. */
final class SyntheticQueries {
  /** One in this many queries has as many parts as a client can send. */
  private static final int LARGEST_EVERY = 10;

  /** The most parts of the other queries. */
  private static final int MAX_COMMON_PARTS = 8;

  /** The limit of pending queries has capacity for this many of the largest, counted by parts. */
  private static final int LARGEST_PENDING = 3;

  /** The most bytes that one part takes in a body, and the rest of the body. */
  private static final int PART_BYTES = 64;

  private static final int REST_BYTES = 64;

  private static final double MS_PER_SECOND = 1000;

  private final Settings settings;
  private final int maxBodyBytes;

  /** Creates a generator for these settings, whose bodies have this size at the most. */
  SyntheticQueries(Settings settings, int maxBodyBytes) {
    this.settings = settings;
    this.maxBodyBytes = maxBodyBytes;
  }

  /** The query with this number; some are as large as a client can send. */
  String ofAnySize(int number) {
    boolean isLargest = number % LARGEST_EVERY == LARGEST_EVERY - 1;
    return isLargest ? request(number, maxParts()) : ofCommonSize(number);
  }

  /** The query with this number, with a few parts. */
  String ofCommonSize(int number) {
    int parts = Math.min(1 + number % MAX_COMMON_PARTS, settings.layout().shards());
    return request(number, parts);
  }

  /**
   * The parts of the largest query that a client can send: each shard once, in a body that is
   * accepted, within the limit of pending queries.
   */
  int maxParts() {
    int byPending = settings.limits().maxPending() / LARGEST_PENDING - 1;
    int byBody = (maxBodyBytes - REST_BYTES) / PART_BYTES;
    return Math.max(1, Math.min(settings.layout().shards(), Math.min(byPending, byBody)));
  }

  private String request(int number, int parts) {
    Settings.QueryClass queryClass = settings.classes().get(number % settings.classes().size());
    String body = body(number, parts);
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

  private String body(int number, int parts) {
    int shards = settings.layout().shards();
    String partList =
        IntStream.range(0, parts)
            .mapToObj(i -> "{\"slice\":" + (number + i) % shards + ",\"mass\":" + 1.0 / parts + "}")
            .collect(Collectors.joining(","));
    return "{\"slices\":[" + partList + "],\"filter\":\"c41e77d0\"}";
  }
}
