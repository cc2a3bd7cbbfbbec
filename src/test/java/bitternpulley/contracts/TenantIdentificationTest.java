package bitternpulley.contracts;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Map;
import org.junit.jupiter.api.Test;

class TenantIdentificationTest {
  private static final byte[] SALT = {1, 2, 3};
  private final TenantIdentification identification =
      new TenantIdentification(
          Map.of("id", new ApiKey("team", SALT, TenantIdentification.hash(SALT, bytes("secret")))),
          Map.of("stock", "stock-desk"),
          Map.of(2, "app"),
          false);

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static String header(String credentials) {
    return "ApiKey " + Base64.getEncoder().encodeToString(bytes(credentials));
  }

  @Test
  void identifiesTeamOfKey() {
    assertEquals(
        new TenantIdentification.KeyOwner(TenantIdentification.KeyStatus.KNOWN, "team"),
        identification.ownerOfKey(header("id:secret")));
  }

  @Test
  void keyWithWrongSecretIdOrSchemeIsUnknown() {
    TenantIdentification.KeyOwner unknown =
        new TenantIdentification.KeyOwner(TenantIdentification.KeyStatus.UNKNOWN, null);
    assertEquals(unknown, identification.ownerOfKey(header("id:wrong")));
    assertEquals(unknown, identification.ownerOfKey(header("other:secret")));
    assertEquals(unknown, identification.ownerOfKey(header("secret")));
    assertEquals(unknown, identification.ownerOfKey("ApiKey ***"));
    assertEquals(unknown, identification.ownerOfKey("Basic aWQ6c2VjcmV0"));
  }

  @Test
  void keyIsAbsentWithoutHeader() {
    assertEquals(TenantIdentification.KeyStatus.ABSENT, identification.ownerOfKey(null).status());
  }

  @Test
  void identifiesTeamsByIndexAndByQueryClass() {
    assertEquals("stock-desk", identification.teamOfIndex("stock"));
    assertNull(identification.teamOfIndex("other"));
    assertEquals("app", identification.teamOfClass(2));
    assertNull(identification.teamOfClass(0));
  }
}
