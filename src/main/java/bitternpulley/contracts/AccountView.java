package bitternpulley.contracts;

/**
 * The state of a team's account at one time, for operators. Amounts are standard parts, see {@link
 * WorkMeter}.
 *
 * @param team the contract's id
 * @param version the version of the contracts in force
 * @param contract the contract that the account is kept by
 * @param balance what the guaranteed quota has available; 0 while capacity is unlimited
 * @param loan what the team may still borrow; 0 while capacity is unlimited
 * @param pending queries and parts that are pending
 * @param reservations callers for which capacity is reserved
 * @param used charged since the account was opened
 * @param borrowed the part of {@code used} that was borrowed
 * @param admitted queries admitted
 * @param rejections queries rejected, by limit
 * @param retriesLeft attempts beyond the first that the aggregator may still make
 * @param clientRetriesLeft retries that the team's clients may still make
 */
public record AccountView(
    String team,
    int version,
    Contract contract,
    double balance,
    double loan,
    int pending,
    int reservations,
    double used,
    double borrowed,
    long admitted,
    RejectionCounts rejections,
    double retriesLeft,
    double clientRetriesLeft) {}
