/**
 * The operators' admin endpoint: answers each line with one line, at an address of its own. {@link
 * bitternpulley.admin.AdminEndpoint} parses the commands and passes them on, as events of the
 * broker or calls of {@link bitternpulley.admin.ServiceControl}. {@link
 * bitternpulley.admin.OverridesFile} persists the operator overrides in a file that the processes
 * of a hot restart share. {@code AccountsReport} and {@code MembersReport} write the replies in
 * JSON.
 *
 * <p>This package decides nothing and never touches routing state: the broker accepts or rejects an
 * override. A command that changes an override is answered only once the override is in force, and
 * the answer says if it could not be persisted. {@link bitternpulley.net.LineServer} limits
 * connections, line lengths and time, so that a silent caller does not lock others out. Everything
 * runs on the event loop except file access, which has a thread of its own.
 *
 * <p>The package {@code aggregator} creates the endpoint. Start reading with {@link
 * bitternpulley.admin.AdminEndpoint}.
 */
package bitternpulley.admin;
