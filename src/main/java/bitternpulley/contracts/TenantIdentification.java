package bitternpulley.contracts;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;

/**
 * Whose a request is: by the key that it shows, by the index that it asks, by its class. A key that
 * is shown and not known is never passed over for another sign, so that nobody gains by showing a
 * wrong one; no other header is looked at.
 */
public final class TenantIdentification {
  /** Recognises nobody, as where there are no contracts. */
  public static final TenantIdentification NONE =
      new TenantIdentification(Map.of(), Map.of(), Map.of(), true);

  private static final String SCHEME = "ApiKey ";

  /**
   * A key's hash: SHA-256 of the salt's bytes and the secret's. Keys are long and random, so that
   * one pass is enough.
   */
  public record Key(String team, byte[] salt, byte[] sha256) {}

  /** What a header shows. */
  public enum KeyStatus {
    ABSENT,
    KNOWN,
    UNKNOWN
  }

  /** A shown key and, where it is known, whose it is. */
  public record KeyOwner(KeyStatus status, String team) {}

  private static final KeyOwner NOBODY = new KeyOwner(KeyStatus.ABSENT, null);
  private static final KeyOwner STRANGER = new KeyOwner(KeyStatus.UNKNOWN, null);

  /**
   * Guards against a difference in time between an id that is unknown and a secret that is wrong.
   */
  private static final Key DECOY = new Key(null, new byte[16], new byte[32]);

  private final Map<String, Key> keys;
  private final Map<String, String> byIndex;
  private final Map<Integer, String> byClass;
  private final boolean fallback;

  /** {@code fallback} tells whether a contract holds for those that nothing tells of. */
  public TenantIdentification(
      Map<String, Key> keys,
      Map<String, String> byIndex,
      Map<Integer, String> byClass,
      boolean fallback) {
    this.fallback = fallback;
    this.keys = new HashMap<>(keys);
    this.byIndex = new HashMap<>(byIndex);
    this.byClass = new HashMap<>(byClass);
  }

  /** Whose key an {@code Authorization} header shows; the header may be null. */
  public KeyOwner byKey(String header) {
    if (header == null) {
      return NOBODY;
    }
    if (!header.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
      return STRANGER;
    }
    byte[] shown;
    try {
      shown = Base64.getDecoder().decode(header.substring(SCHEME.length()).trim());
    } catch (IllegalArgumentException e) {
      return STRANGER;
    }
    String text = new String(shown, StandardCharsets.UTF_8);
    int colon = text.indexOf(':');
    Key key = colon < 0 ? null : keys.get(text.substring(0, colon));
    Key against = key == null ? DECOY : key;
    byte[] secret = text.substring(colon + 1).getBytes(StandardCharsets.UTF_8);
    boolean same = MessageDigest.isEqual(hash(against.salt(), secret), against.sha256());
    return same && key != null ? new KeyOwner(KeyStatus.KNOWN, key.team()) : STRANGER;
  }

  /** The hash of a secret, as it stands in the operators' script. */
  public static byte[] hash(byte[] salt, byte[] secret) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      digest.update(salt);
      return digest.digest(secret);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every JVM has SHA-256", e);
    }
  }

  /** Whether a contract holds for those that nothing tells of. */
  public boolean hasFallback() {
    return fallback;
  }

  /** The team that an index is for, or null. */
  public String byIndex(String index) {
    return byIndex.get(index);
  }

  /** The team that a class is for on the platform's front, or null. */
  public String byClass(int queryClass) {
    return byClass.get(queryClass);
  }
}
