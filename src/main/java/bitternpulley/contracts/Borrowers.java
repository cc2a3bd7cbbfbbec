package bitternpulley.contracts;

import java.util.ArrayDeque;

/**
 * The accounts that want to borrow; the pool divides idle capacity among them by weight. An account
 * is checked no more often than its interest lasts, whatever it asks for meanwhile.
 */
final class Borrowers {
  /** Ms for which an account wants to borrow after it last asked to. */
  private static final double INTEREST_MS = 1000;

  private final CapacityPool pool;

  /** In the order of their next checks. */
  private final ArrayDeque<Account> queue = new ArrayDeque<>();

  Borrowers(CapacityPool pool) {
    this.pool = pool;
  }

  /** The account wants to borrow now. */
  void add(Account account, double now) {
    if (account.borrowing().renewUntil(now + INTEREST_MS)) {
      pool.addBorrower(account.contract().borrowingWeight());
      queue.add(account);
    }
  }

  /** Changes an account's contract and with it the account's weight. */
  void applyContract(Account account, Contract contract) {
    boolean isBorrower = account.borrowing().isActive();
    if (isBorrower) {
      pool.removeBorrower(account.contract().borrowingWeight());
    }
    account.applyContract(contract);
    if (isBorrower) {
      pool.addBorrower(contract.borrowingWeight());
    }
  }

  /** Drops the accounts that no longer want to borrow. */
  void expire(double now) {
    while (!queue.isEmpty() && queue.peek().borrowing().isCheckDue(now)) {
      Account account = queue.poll();
      if (account.borrowing().expire(now)) {
        pool.removeBorrower(account.contract().borrowingWeight());
      } else {
        queue.add(account);
      }
    }
  }
}
