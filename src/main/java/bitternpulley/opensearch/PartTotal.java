package bitternpulley.opensearch;

import bitternpulley.broker.Payload;

/**
 * The number of documents that match in one part. The hits themselves are merged when they arrive.
 *
 * @param value the number of matching documents; -1 if the server does not report it
 * @param isExact whether the number is exact; otherwise it is a lower bound
 */
record PartTotal(long value, boolean isExact) implements Payload {
  static final long UNKNOWN = -1;
}
