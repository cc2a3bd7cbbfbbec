package bitternpulley.contracts;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The accounts of all teams that have sent a query. */
final class Accounts {
  private final Map<String, Account> byTeam = new HashMap<>();

  Optional<Account> find(String team) {
    return Optional.ofNullable(byTeam.get(team));
  }

  /** The account of a contract's team, which is opened if it does not exist. */
  Account open(Contract contract) {
    Account account = byTeam.get(contract.id());
    if (account == null) {
      account = new Account(contract);
      byTeam.put(contract.id(), account);
    }
    return account;
  }

  /** Closes the idle accounts of teams that no longer have a contract. */
  void closeRetired(ContractSet contracts, double now) {
    byTeam
        .values()
        .removeIf(account -> contracts.find(account.team()).isEmpty() && account.isIdle(now));
  }

  List<AccountView> views(int version, CapacityPool pool, double now) {
    List<AccountView> views = new ArrayList<>();
    byTeam.values().forEach(account -> views.add(account.view(version, pool, now)));
    return views;
  }
}
