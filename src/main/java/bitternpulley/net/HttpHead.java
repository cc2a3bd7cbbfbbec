package bitternpulley.net;

import java.util.Locale;
import java.util.Map;

/**
 * The start line and headers of a message.
 *
 * @param method the method; of a response, the version
 * @param target the target; of a response, the status
 * @param version the version; of a response, the reason phrase
 * @param headers values by header name in lower case
 */
public record HttpHead(String method, String target, String version, Map<String, String> headers) {
  private static final String HTTP_1_0 = "HTTP/1.0";

  /** Heap that a header occupies in a map beside its characters: two strings and their slots. */
  private static final int HEADER_OVERHEAD_BYTES = 128;

  /** Returns the value of a header, or null; the name is case-insensitive. */
  public String header(String name) {
    return headers.get(name.toLowerCase(Locale.ROOT));
  }

  /** Returns whether the sender keeps the connection open after this message. */
  public boolean keepAlive() {
    String connection = header("connection");
    String httpVersion = method.startsWith("HTTP/") ? method : version;
    if (connection == null) {
      return !httpVersion.equals(HTTP_1_0);
    }
    String lowerCase = connection.toLowerCase(Locale.ROOT);
    return !lowerCase.contains("close")
        && (!httpVersion.equals(HTTP_1_0) || lowerCase.contains("keep-alive"));
  }

  /** Returns the status of a response. */
  public int status() {
    return Integer.parseInt(target);
  }

  /** Returns an estimate of the heap that the start line and headers occupy, in bytes. */
  int estimateHeapBytes() {
    int bytes = method.length() + target.length() + version.length();
    for (Map.Entry<String, String> header : headers.entrySet()) {
      bytes += HEADER_OVERHEAD_BYTES + header.getKey().length() + header.getValue().length();
    }
    return bytes;
  }
}
