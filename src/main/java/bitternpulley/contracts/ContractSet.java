package bitternpulley.contracts;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * An immutable, versioned set of the contracts that are in force together. The configuration reader
 * has validated them.
 */
public final class ContractSet {
  /** No contracts: every query is admitted. */
  public static final ContractSet NONE = new ContractSet(0, Map.of(), null);

  private final int version;
  private final Map<String, Contract> byTeam;
  private final String defaultTeam;

  /**
   * Creates the set.
   *
   * @param version the version of the contracts
   * @param byTeam the contracts by their id
   * @param defaultTeam the team whose contract applies to requests without an identified team, or
   *     null
   */
  public ContractSet(int version, Map<String, Contract> byTeam, String defaultTeam) {
    this.version = version;
    this.byTeam = new LinkedHashMap<>(byTeam);
    this.defaultTeam = defaultTeam;
  }

  /** The version of the contracts; 0 if there are none. */
  public int version() {
    return version;
  }

  /** The same contracts under another version. */
  public ContractSet withVersion(int other) {
    return new ContractSet(other, byTeam, defaultTeam);
  }

  /** Whether there are no contracts. */
  public boolean isEmpty() {
    return byTeam.isEmpty();
  }

  /** All contracts, in the order of the operators' script. */
  public Collection<Contract> contracts() {
    return byTeam.values();
  }

  /** The contract of a team, or the default contract if {@code team} is null. */
  public Optional<Contract> find(String team) {
    return Optional.ofNullable(findOrNull(team));
  }

  /** Like {@link #find}, but allocates no object, as it is called for each query. */
  Contract findOrNull(String team) {
    return byTeam.get(team == null ? defaultTeam : team);
  }
}
