/**
 * The operators' admin endpoint: answers each line with one line, at an address of its own.
 * Commands become events of the broker or calls of {@link bitternpulley.admin.ServiceControl};
 * overrides are persisted in a file that the processes of a hot restart share.
 *
 * <p>This package decides nothing and never touches routing state: the broker accepts or rejects an
 * override, and a command is answered only once its override is persisted and in force. {@link
 * bitternpulley.net.LineServer} limits connections, line lengths and time, so that a silent caller
 * does not lock others out. Everything runs on the event loop except file access, which has a
 * thread of its own.
 *
 * <p>The package {@code aggregator} creates the endpoint. Start reading with {@link
 * bitternpulley.admin.AdminEndpoint}.
 */
package bitternpulley.admin;
