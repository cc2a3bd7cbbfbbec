package bitternpulley.contracts;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The accounts of the teams that have asked for something. */
final class Accounts {
  private final Map<String, Account> byTeam = new HashMap<>();

  Optional<Account> find(String team) {
    return Optional.ofNullable(byTeam.get(team));
  }

  /** The account kept by a contract, opened if there is none. */
  Account open(Contract contract) {
    Account account = byTeam.get(contract.id());
    if (account == null) {
      account = new Account(contract);
      byTeam.put(contract.id(), account);
    }
    return account;
  }

  /** Closes the accounts whose team has no contract any more and on which nothing depends. */
  void closeRetired(ContractBook book, double now) {
    byTeam.values().removeIf(account -> book.find(account.team()).isEmpty() && account.isIdle(now));
  }

  List<AccountView> views(int version, CapacityPool pool, double now) {
    List<AccountView> views = new ArrayList<>();
    byTeam.values().forEach(account -> views.add(account.view(version, pool, now)));
    return views;
  }
}
