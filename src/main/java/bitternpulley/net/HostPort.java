package bitternpulley.net;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Pattern;

/**
 * An address as written: numbers and a port. Names are not looked up, since there is no DNS to ask.
 */
public record HostPort(String host, int port) {
  private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])";
  private static final Pattern HOST =
      Pattern.compile("(" + OCTET + "\\.){3}" + OCTET + "|\\[[0-9a-fA-F:.]+]");

  /** Reads {@code host:port}; throws IllegalArgumentException on anything else. */
  public static HostPort parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0
        || !text.substring(colon + 1).matches("[0-9]{1,5}")
        || !HOST.matcher(text.substring(0, colon)).matches()) {
      // Numbers that are no address as well: they would be looked up as a name, which waits.
      throw new IllegalArgumentException("'" + text + "' is not an address and a port");
    }
    int port = Integer.parseInt(text.substring(colon + 1));
    if (port > 65535) {
      throw new IllegalArgumentException("'" + text + "' has no such port");
    }
    return new HostPort(text.substring(0, colon), port);
  }

  /** The socket address. */
  public InetSocketAddress address() {
    try {
      return new InetSocketAddress(InetAddress.getByName(host), port);
    } catch (UnknownHostException e) {
      throw new IllegalArgumentException("'" + host + "' is not an address", e);
    }
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
