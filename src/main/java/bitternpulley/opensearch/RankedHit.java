package bitternpulley.opensearch;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonSerializable;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.jsontype.TypeSerializer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;

/**
 * A hit of a merged search.
 *
 * @param score its score
 * @param partIndex the position of its part in the search
 * @param position its position in the answer of the part
 * @param document its JSON text, as the server sent it
 */
@SuppressWarnings("ArrayRecordComponent") // Never compared by value; a copy would cost time.
record RankedHit(double score, int partIndex, int position, byte[] document)
    implements JsonSerializable {
  /**
   * Best hit first: descending score; ties are broken by part, then by position within the part, so
   * that the order is deterministic.
   */
  static final Comparator<RankedHit> RANKING =
      Comparator.comparingDouble((RankedHit hit) -> -hit.score())
          .thenComparingInt(RankedHit::partIndex)
          .thenComparingInt(RankedHit::position);

  /** Heap of this object, the head of its array and its place in a queue, in bytes. */
  private static final int OVERHEAD_BYTES = 64;

  /** The heap that the hit occupies, in bytes. */
  int heapBytes() {
    return OVERHEAD_BYTES + document.length;
  }

  @Override
  public void serialize(JsonGenerator generator, SerializerProvider provider) throws IOException {
    generator.writeRawValue(new String(document, StandardCharsets.UTF_8));
  }

  @Override
  public void serializeWithType(
      JsonGenerator generator, SerializerProvider provider, TypeSerializer typeSerializer)
      throws IOException {
    serialize(generator, provider);
  }
}
