package bitternpulley.contracts;

import java.security.MessageDigest;

/**
 * A team's API key, stored as the salted SHA-256 hash of its secret. Secrets are long and random,
 * so one pass of the hash function is enough.
 */
public final class ApiKey {
  private static final int SALT_BYTES = 16;
  private static final int HASH_BYTES = 32;

  /**
   * Checked against the secret of an unknown key, so that the duration of a check does not reveal
   * whether the id is unknown or the secret wrong.
   */
  static final ApiKey DUMMY = new ApiKey(null, new byte[SALT_BYTES], new byte[HASH_BYTES]);

  private final String team;
  private final byte[] salt;
  private final byte[] hash;

  /** The key of a team; {@code hash} is computed by {@link TenantIdentification#hash}. */
  public ApiKey(String team, byte[] salt, byte[] hash) {
    this.team = team;
    this.salt = salt.clone();
    this.hash = hash.clone();
  }

  String team() {
    return team;
  }

  /** Whether the secret is correct; takes the same time for all secrets of the same length. */
  boolean matches(byte[] secret) {
    return MessageDigest.isEqual(TenantIdentification.hash(salt, secret), hash);
  }
}
