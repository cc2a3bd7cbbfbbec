package bitternpulley.contracts;

/**
 * How a team's account stands; amounts are standard parts. {@code refused} counts by {@link
 * Limit}'s order.
 */
public record AccountView(
    String team,
    int version,
    Contract contract,
    double balance,
    double loan,
    int held,
    int promises,
    double used,
    double borrowed,
    long admitted,
    long[] refused,
    double furtherAttempts,
    double clientRetries) {}
