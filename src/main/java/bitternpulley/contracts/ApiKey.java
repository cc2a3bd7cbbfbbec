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
   * Compared with the secret of an unknown key, so that the time of a check does not tell an
   * unknown id from a wrong secret.
   */
  static final ApiKey DECOY = new ApiKey(null, new byte[SALT_BYTES], new byte[HASH_BYTES]);

  private final String team;
  private final byte[] salt;
  private final byte[] hash;

  /** The key of a team; {@code hash} is that of {@link TenantIdentification#hash}. */
  public ApiKey(String team, byte[] salt, byte[] hash) {
    this.team = team;
    this.salt = salt.clone();
    this.hash = hash.clone();
  }

  String team() {
    return team;
  }

  /** Whether the secret is the key's; takes the same time for any secret of one length. */
  boolean matches(byte[] secret) {
    return MessageDigest.isEqual(TenantIdentification.hash(salt, secret), hash);
  }
}
