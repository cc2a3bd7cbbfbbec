package bitternpulley.contracts;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The contracts in force together, under one version; a change is a new book. Checked where it is
 * read.
 */
public final class ContractBook {
  /** No contracts: everything is admitted, as where none are configured. */
  public static final ContractBook NONE = new ContractBook(0, Map.of(), null);

  private final int version;
  private final Map<String, Contract> byTeam;
  private final String fallback;

  /**
   * {@code fallback} is the team whose contract holds for those that no one recognises, or null.
   */
  public ContractBook(int version, Map<String, Contract> byTeam, String fallback) {
    this.version = version;
    this.byTeam = new LinkedHashMap<>(byTeam);
    this.fallback = fallback;
  }

  public int version() {
    return version;
  }

  /** The same contracts under another version. */
  public ContractBook withVersion(int other) {
    return new ContractBook(other, byTeam, fallback);
  }

  public boolean isEmpty() {
    return byTeam.isEmpty();
  }

  public Collection<Contract> contracts() {
    return byTeam.values();
  }

  /** A team's contract, the fallback's for a team that is null, or null where there is none. */
  public Contract of(String team) {
    return team == null ? fallback == null ? null : byTeam.get(fallback) : byTeam.get(team);
  }
}
