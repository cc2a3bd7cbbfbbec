package bitternpulley.contracts;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The contracts that are in force together, under one version; immutable. The configuration reader
 * checks them.
 */
public final class ContractBook {
  /** No contracts: everything is admitted. */
  public static final ContractBook NONE = new ContractBook(0, Map.of(), null);

  private final int version;
  private final Map<String, Contract> byTeam;
  private final String defaultTeam;

  /**
   * The given contracts under a version.
   *
   * @param version of these contracts
   * @param byTeam the contracts by their id
   * @param defaultTeam the team whose contract applies to requests that no team is identified for,
   *     or null
   */
  public ContractBook(int version, Map<String, Contract> byTeam, String defaultTeam) {
    this.version = version;
    this.byTeam = new LinkedHashMap<>(byTeam);
    this.defaultTeam = defaultTeam;
  }

  /** The version of these contracts; 0 for none. */
  public int version() {
    return version;
  }

  /** The same contracts under another version. */
  public ContractBook withVersion(int other) {
    return new ContractBook(other, byTeam, defaultTeam);
  }

  /** Whether there are no contracts. */
  public boolean isEmpty() {
    return byTeam.isEmpty();
  }

  /** All contracts, in the order of the operators' script. */
  public Collection<Contract> contracts() {
    return byTeam.values();
  }

  /** The contract that applies to a team, the default one if {@code team} is null. */
  public Optional<Contract> find(String team) {
    return Optional.ofNullable(findOrNull(team));
  }

  /** As {@link #find}, without an object to allocate for each query. */
  Contract findOrNull(String team) {
    return byTeam.get(team == null ? defaultTeam : team);
  }
}
