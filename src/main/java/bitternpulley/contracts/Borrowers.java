package bitternpulley.contracts;

import java.util.ArrayDeque;

/**
 * The accounts that want to borrow; the pool divides idle capacity among them by weight. An account
 * has one entry in the queue of checks, however often it asks to borrow.
 */
final class Borrowers {
  /** Time for which an account counts as a borrower after it last asked to borrow. */
  private static final double INTEREST_MS = 1000;

  private final CapacityPool pool;

  /** The borrowers in the order of their next checks. */
  private final ArrayDeque<Account> queue = new ArrayDeque<>();

  Borrowers(CapacityPool pool) {
    this.pool = pool;
  }

  /** Adds an account that asks to borrow, or extends its interest. */
  void add(Account account, double now) {
    if (account.borrowing().renewUntil(now + INTEREST_MS)) {
      pool.addBorrower(account.contract().borrowingWeight());
      queue.add(account);
    }
  }

  /** Replaces an account's contract and with it the account's borrowing weight. */
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

  /** Removes the accounts that no longer want to borrow. */
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
