/**
 * The operators' endpoint: one line in, one line back, at an address of its own. Calls become
 * events of the core or tasks of the program; orders are kept in a file that processes of one
 * upgrade share.
 *
 * <p>It changes no state itself and answers only once an order is kept and in force. Callers, lines
 * and time are bounded, so that a silent caller keeps nobody else out. Start with {@link
 * bitternpulley.admin.AdminEndpoint}.
 */
package bitternpulley.admin;
