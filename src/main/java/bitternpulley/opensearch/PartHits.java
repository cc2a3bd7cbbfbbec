package bitternpulley.opensearch;

import java.io.IOException;
import java.util.List;
import java.util.Optional;

/**
 * The hits of one part, as positions in the server's answer. As a tree of JSON nodes, short hits
 * would occupy many times the bytes of the answer.
 *
 * @param total the number of matching documents
 * @param answer the body of the server's answer
 * @param hits the best hits, in the order of the answer
 */
@SuppressWarnings("ArrayRecordComponent") // Never compared; a defensive copy would cost time.
record PartHits(PartTotal total, byte[] answer, List<Hit> hits) {

  /**
   * One hit.
   *
   * @param score its score
   * @param start the index of its first byte in the answer
   * @param end the index behind its last byte
   */
  record Hit(double score, int start, int end) {}

  /**
   * Reads a server's answer to a part.
   *
   * @param answer the body of the answer
   * @param needsTotal whether an answer without a total is incomplete
   * @return the hits; empty if the answer is not valid JSON in UTF-8, does not cover the whole part
   *     or its hits have no scores
   */
  static Optional<PartHits> read(byte[] answer, boolean needsTotal) {
    try (PartHitsReader reader = new PartHitsReader(answer)) {
      return reader.read(needsTotal);
    } catch (IOException exception) {
      return Optional.empty();
    }
  }
}
