package bitternpulley.opensearch;

import bitternpulley.contracts.QueryFingerprint;
import bitternpulley.contracts.TenantIdentification;
import bitternpulley.net.HttpHead;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Supplier;

/** Identifies the tenant (team) of a search by the API key or, without one, by the indices. */
final class TenantResolver {
  private static final long NO_FINGERPRINT = 0;

  private final Supplier<TenantIdentification> identification;

  /** Creates a resolver that uses the contracts in force at the time of each call. */
  TenantResolver(Supplier<TenantIdentification> identification) {
    this.identification = identification;
  }

  /** Returns the owner of a request's API key; throws SearchException if the key is rejected. */
  TenantIdentification.KeyOwner keyOwner(HttpHead head) {
    TenantIdentification current = identification.get();
    if (current == TenantIdentification.NONE) {
      return new TenantIdentification.KeyOwner(TenantIdentification.KeyStatus.ABSENT, null);
    }
    TenantIdentification.KeyOwner owner = current.ownerOfKey(head.header("Authorization"));
    if (owner.status() == TenantIdentification.KeyStatus.UNKNOWN && !current.hasDefaultContract()) {
      throw SearchException.unauthenticated("unable to authenticate with the key that is shown");
    }
    return owner;
  }

  /**
   * Returns the team of a search, or null. An API key takes precedence over the indices, and with
   * an unknown key only the default contract applies.
   */
  String team(TenantIdentification.KeyOwner keyOwner, List<Search.Part> parts) {
    if (keyOwner.status() != TenantIdentification.KeyStatus.ABSENT) {
      return keyOwner.team();
    }
    TenantIdentification current = identification.get();
    return current == TenantIdentification.NONE ? null : teamOfIndices(current, parts);
  }

  private static String teamOfIndices(TenantIdentification current, List<Search.Part> parts) {
    List<String> teams =
        parts.stream()
            .map(Search.Part::index)
            .distinct()
            .map(current::teamOfIndex)
            .distinct()
            .toList();
    if (teams.size() > 1) {
      throw SearchException.illegalArgument(
          "the indices are of different teams and need searches of their own");
    }
    String team = teams.get(0);
    if (team == null && !current.hasDefaultContract()) {
      throw SearchException.unauthenticated("missing authentication credentials");
    }
    return team;
  }

  /** Returns a fingerprint to recognize a repeated search, or 0 if no contracts are in force. */
  long fingerprint(Search search) {
    if (identification.get() == TenantIdentification.NONE) {
      return NO_FINGERPRINT;
    }
    String text = search.parts() + new String(search.body(), StandardCharsets.UTF_8);
    return QueryFingerprint.of(text.getBytes(StandardCharsets.UTF_8), search.queryClass());
  }
}
