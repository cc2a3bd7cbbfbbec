/**
 * The operators' admin endpoint: one line in, one line back, at an address of its own. Commands
 * become events of the broker or calls of {@link bitternpulley.admin.ServiceControl}; overrides are
 * persisted in a file that the processes of one hot restart share.
 *
 * <p>It decides nothing and never touches routing state: the broker accepts or rejects an override,
 * and a command is answered only once its override is persisted and in force. Connections, lines
 * and time are bounded by {@link bitternpulley.net.LineServer}, so that a silent caller does not
 * lock others out. All runs on the event loop but for file access, which has a thread of its own.
 *
 * <p>Called by the assembly of the process. Start reading with {@link
 * bitternpulley.admin.AdminEndpoint}.
 */
package bitternpulley.admin;
