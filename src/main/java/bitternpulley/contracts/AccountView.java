package bitternpulley.contracts;

/**
 * How a team's account stands; amounts are standard parts. {@code rejected} counts by {@link
 * Limit}'s order.
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
    long[] rejected,
    double retriesLeft,
    double clientRetriesLeft) {}
