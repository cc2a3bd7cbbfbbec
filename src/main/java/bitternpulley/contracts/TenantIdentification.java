package bitternpulley.contracts;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;

/**
 * Identifies the team of a request by API key, then by index, then by query class. A request with
 * an unknown key is never identified by its index or class, so that a wrong key gains nothing; no
 * other header is read.
 */
public final class TenantIdentification {
  /** Identifies no team: no contracts are configured. */
  public static final TenantIdentification NONE =
      new TenantIdentification(Map.of(), Map.of(), Map.of(), true);

  private static final String SCHEME = "ApiKey ";

  /** What an {@code Authorization} header holds. */
  public enum KeyStatus {
    /** There is no header. */
    ABSENT,
    /** A key that a contract has. */
    KNOWN,
    /** Anything else. */
    UNKNOWN
  }

  /**
   * The result of a key check.
   *
   * @param status what the header holds
   * @param team the key's team, or null unless the key is known
   */
  public record KeyOwner(KeyStatus status, String team) {}

  private static final KeyOwner NO_KEY = new KeyOwner(KeyStatus.ABSENT, null);
  private static final KeyOwner UNKNOWN_KEY = new KeyOwner(KeyStatus.UNKNOWN, null);

  private final Map<String, ApiKey> keys;
  private final Map<String, String> teamByIndex;
  private final Map<Integer, String> teamByClass;
  private final boolean fallback;

  /**
   * Identifies teams by the given keys, indices and classes.
   *
   * @param keys API keys by their id
   * @param teamByIndex the team of each index that belongs to one
   * @param teamByClass the team of each query class, by position, whose platform queries belong to
   *     one
   * @param fallback whether a default contract applies to requests that no team is identified for
   */
  public TenantIdentification(
      Map<String, ApiKey> keys,
      Map<String, String> teamByIndex,
      Map<Integer, String> teamByClass,
      boolean fallback) {
    this.fallback = fallback;
    this.keys = new HashMap<>(keys);
    this.teamByIndex = new HashMap<>(teamByIndex);
    this.teamByClass = new HashMap<>(teamByClass);
  }

  /** The owner of the key in an {@code Authorization} header; the header may be null. */
  public KeyOwner ownerOfKey(String header) {
    if (header == null) {
      return NO_KEY;
    }
    if (!header.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
      return UNKNOWN_KEY;
    }
    byte[] credentials;
    try {
      credentials = Base64.getDecoder().decode(header.substring(SCHEME.length()).trim());
    } catch (IllegalArgumentException malformed) {
      return UNKNOWN_KEY;
    }
    return byCredentials(new String(credentials, StandardCharsets.UTF_8));
  }

  /** Checks {@code id:secret}. */
  private KeyOwner byCredentials(String credentials) {
    int colon = credentials.indexOf(':');
    ApiKey key = colon < 0 ? null : keys.get(credentials.substring(0, colon));
    byte[] secret = credentials.substring(colon + 1).getBytes(StandardCharsets.UTF_8);
    boolean matches = (key == null ? ApiKey.DECOY : key).matches(secret);
    return matches && key != null ? new KeyOwner(KeyStatus.KNOWN, key.team()) : UNKNOWN_KEY;
  }

  /** The SHA-256 hash of a salt followed by a secret, as the operators' script has it. */
  public static byte[] hash(byte[] salt, byte[] secret) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      digest.update(salt);
      return digest.digest(secret);
    } catch (NoSuchAlgorithmException missing) {
      throw new IllegalStateException("every JVM has SHA-256", missing);
    }
  }

  /** Whether a default contract applies to requests that no team is identified for. */
  public boolean hasFallback() {
    return fallback;
  }

  /** The team that an index belongs to, or null. */
  public String teamOfIndex(String index) {
    return teamByIndex.get(index);
  }

  /** The team that a class's platform queries belong to, or null. */
  public String teamOfClass(int queryClass) {
    return teamByClass.get(queryClass);
  }
}
