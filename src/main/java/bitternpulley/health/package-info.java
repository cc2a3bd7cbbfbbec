/**
 * What is known of slot servers: how many parts of ours one has room for, what a part's work is,
 * what was counted over a window. Small classes, each with a state of its own and time passed in;
 * no I/O, no decision about a query.
 *
 * <p>Called by the decision module ({@code policy}), which says who is asked. Start with {@link
 * bitternpulley.health.ServerConcurrencyLimit}. The rest of what {@code policy} knows of servers
 * moves here with the recovery work.
 */
package bitternpulley.health;
