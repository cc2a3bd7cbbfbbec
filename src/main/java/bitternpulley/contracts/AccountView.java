package bitternpulley.contracts;

/**
 * The state of a team's account at one time, for operators. Amounts are in standard parts, see
 * {@link WorkMeter}.
 *
 * @param team the contract's id
 * @param version the version of the contracts in force
 * @param contract the team's contract
 * @param guaranteeBalance amount left of the guaranteed quota; 0 while capacity is unlimited
 * @param loanBalance amount that the team may still borrow; 0 while capacity is unlimited
 * @param pending number of pending queries plus number of their parts
 * @param reservations number of callers for which capacity is reserved
 * @param used amount charged since the account was opened
 * @param borrowed amount of {@code used} that was borrowed
 * @param admitted number of admitted queries
 * @param rejections number of rejected queries, by limit
 * @param retriesLeft number of attempts beyond the first that the aggregator may still make
 * @param clientRetriesLeft number of retries that the team's clients may still make
 */
public record AccountView(
    String team,
    int version,
    Contract contract,
    double guaranteeBalance,
    double loanBalance,
    int pending,
    int reservations,
    double used,
    double borrowed,
    long admitted,
    RejectionCounts rejections,
    double retriesLeft,
    double clientRetriesLeft) {}
