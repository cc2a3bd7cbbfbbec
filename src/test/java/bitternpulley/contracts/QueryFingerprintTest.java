package bitternpulley.contracts;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class QueryFingerprintTest {
  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @Test
  void equalQueriesHaveEqualFingerprints() {
    assertEquals(QueryFingerprint.of(bytes("query"), 3), QueryFingerprint.of(bytes("query"), 3));
  }

  @Test
  void differentBytesOrDiscriminatorsGiveDifferentFingerprints() {
    long fingerprint = QueryFingerprint.of(bytes("query"), 3);
    assertNotEquals(fingerprint, QueryFingerprint.of(bytes("Query"), 3));
    assertNotEquals(fingerprint, QueryFingerprint.of(bytes("query"), 4));
  }

  @Test
  void hashesWithFnv1a() {
    // A discriminator below 256 is hashed like a byte that precedes the query. The expected value
    // is the published FNV-1a test vector for "ab".
    assertEquals(0x089c4407b545986aL, QueryFingerprint.of(bytes("b"), 'a'));
  }
}
