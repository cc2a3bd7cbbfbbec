package bitternpulley.net;

import java.util.Locale;
import java.util.Map;

/**
 * The start line and headers; for a response {@code method} is the version and {@code target} the
 * status.
 */
public record HttpHead(String method, String target, String version, Map<String, String> headers) {

  /** A header's value, or null; names are kept in lower case. */
  public String header(String name) {
    return headers.get(name.toLowerCase(Locale.ROOT));
  }

  /** Whether the sender's side of the connection lasts beyond this message. */
  public boolean keepAlive() {
    String connection = header("connection");
    String spokenVersion = method.startsWith("HTTP/") ? method : version;
    if (connection == null) {
      return !spokenVersion.equals("HTTP/1.0");
    }
    String lowerCase = connection.toLowerCase(Locale.ROOT);
    return !lowerCase.contains("close")
        && (!spokenVersion.equals("HTTP/1.0") || lowerCase.contains("keep-alive"));
  }

  /** The status of a response. */
  public int status() {
    return Integer.parseInt(target);
  }
}
