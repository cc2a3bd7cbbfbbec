package bitternpulley.opensearch;

import bitternpulley.contracts.QueryFingerprint;
import bitternpulley.contracts.TenantIdentification;
import bitternpulley.net.HttpHead;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Supplier;

/** Identifies the team of a search by its API key, else by its indices. */
final class TenantResolver {
  private static final long NO_FINGERPRINT = 0;

  private final Supplier<TenantIdentification> identification;

  /** Creates a resolver that follows the contracts in force. */
  TenantResolver(Supplier<TenantIdentification> identification) {
    this.identification = identification;
  }

  /** The owner of the API key of a request; throws SearchException if the key is not accepted. */
  TenantIdentification.KeyOwner keyOwner(HttpHead head) {
    TenantIdentification current = identification.get();
    if (current == TenantIdentification.NONE) {
      return new TenantIdentification.KeyOwner(TenantIdentification.KeyStatus.ABSENT, null);
    }
    TenantIdentification.KeyOwner owner = current.ownerOfKey(head.header("Authorization"));
    if (owner.status() == TenantIdentification.KeyStatus.UNKNOWN && !current.hasFallback()) {
      throw SearchException.unauthenticated("unable to authenticate with the key that is shown");
    }
    return owner;
  }

  /**
   * The team of a search, or null. A key that is sent has precedence over the indices, and with an
   * unknown key only the default contract applies.
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
    if (team == null && !current.hasFallback()) {
      throw SearchException.unauthenticated("missing authentication credentials");
    }
    return team;
  }

  /** The fingerprint that recognizes a search when it is repeated; 0 without contracts. */
  long fingerprint(Search search) {
    if (identification.get() == TenantIdentification.NONE) {
      return NO_FINGERPRINT;
    }
    String text = search.parts() + search.body().toString();
    return QueryFingerprint.of(text.getBytes(StandardCharsets.UTF_8), search.queryClass());
  }
}
