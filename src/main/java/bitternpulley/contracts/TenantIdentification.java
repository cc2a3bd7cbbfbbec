package bitternpulley.contracts;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;

/**
 * Identifies the team of a request by its API key, else by its index, else by its query class. A
 * request with an unknown key is never identified by its index or class, so that a wrong key gains
 * nothing. No other header is read.
 */
public final class TenantIdentification {
  /** Used if no contracts are configured; identifies no team. */
  public static final TenantIdentification NONE =
      new TenantIdentification(Map.of(), Map.of(), Map.of(), true);

  private static final String AUTHORIZATION_SCHEME = "ApiKey ";

  /** The status of the API key in an {@code Authorization} header. */
  public enum KeyStatus {
    /** There is no header. */
    ABSENT,
    /** The header contains the key of a configured team. */
    KNOWN,
    /** The header contains anything else. */
    UNKNOWN
  }

  /**
   * The result of checking a key.
   *
   * @param status the status of the key
   * @param team the key's team; null unless the key is known
   */
  public record KeyOwner(KeyStatus status, String team) {}

  private static final KeyOwner NO_KEY = new KeyOwner(KeyStatus.ABSENT, null);
  private static final KeyOwner UNKNOWN_KEY = new KeyOwner(KeyStatus.UNKNOWN, null);

  private final Map<String, ApiKey> keys;
  private final Map<String, String> teamByIndex;
  private final Map<Integer, String> teamByClass;
  private final boolean hasDefaultContract;

  /**
   * Identifies teams by the given keys, indices and classes.
   *
   * @param keys API keys by their id
   * @param teamByIndex the team of each index that belongs to a team
   * @param teamByClass the team of each query class, by position, whose queries over the platform's
   *     protocol belong to a team
   * @param hasDefaultContract whether a default contract applies to requests without an identified
   *     team
   */
  public TenantIdentification(
      Map<String, ApiKey> keys,
      Map<String, String> teamByIndex,
      Map<Integer, String> teamByClass,
      boolean hasDefaultContract) {
    this.hasDefaultContract = hasDefaultContract;
    this.keys = new HashMap<>(keys);
    this.teamByIndex = new HashMap<>(teamByIndex);
    this.teamByClass = new HashMap<>(teamByClass);
  }

  /** The owner of the key in an {@code Authorization} header; the header may be null. */
  public KeyOwner ownerOfKey(String header) {
    if (header == null) {
      return NO_KEY;
    }
    if (!header.regionMatches(true, 0, AUTHORIZATION_SCHEME, 0, AUTHORIZATION_SCHEME.length())) {
      return UNKNOWN_KEY;
    }
    byte[] credentials;
    try {
      credentials =
          Base64.getDecoder().decode(header.substring(AUTHORIZATION_SCHEME.length()).trim());
    } catch (IllegalArgumentException malformed) {
      return UNKNOWN_KEY;
    }
    return ownerOfCredentials(new String(credentials, StandardCharsets.UTF_8));
  }

  /** Checks credentials of the form {@code id:secret}. */
  private KeyOwner ownerOfCredentials(String credentials) {
    int colon = credentials.indexOf(':');
    ApiKey key = colon < 0 ? null : keys.get(credentials.substring(0, colon));
    byte[] secret = credentials.substring(colon + 1).getBytes(StandardCharsets.UTF_8);
    boolean matches = (key == null ? ApiKey.DUMMY : key).matches(secret);
    return matches && key != null ? new KeyOwner(KeyStatus.KNOWN, key.team()) : UNKNOWN_KEY;
  }

  /** The SHA-256 hash of a salt followed by a secret, as given in the operators' script. */
  public static byte[] hash(byte[] salt, byte[] secret) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      digest.update(salt);
      return digest.digest(secret);
    } catch (NoSuchAlgorithmException missing) {
      throw new IllegalStateException("SHA-256 is required of every JVM but is missing", missing);
    }
  }

  /** Whether a default contract applies to requests without an identified team. */
  public boolean hasDefaultContract() {
    return hasDefaultContract;
  }

  /** The team that an index belongs to, or null. */
  public String teamOfIndex(String index) {
    return teamByIndex.get(index);
  }

  /** The team that queries of a class over the platform's protocol belong to, or null. */
  public String teamOfClass(int queryClass) {
    return teamByClass.get(queryClass);
  }
}
