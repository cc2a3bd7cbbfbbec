package bitternpulley.net;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Pattern;

/**
 * A numeric address and a port. Names are not resolved, because the platform has no DNS.
 *
 * @param host an IPv4 address, or an IPv6 address in brackets
 * @param port the TCP or UDP port
 */
public record HostPort(String host, int port) {
  private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])";
  private static final Pattern HOST =
      Pattern.compile("(" + OCTET + "\\.){3}" + OCTET + "|\\[[0-9a-fA-F:.]+]");
  private static final int MAX_PORT = 65535;

  /**
   * Parses {@code host:port}.
   *
   * @throws HostPortException on anything else
   */
  public static HostPort parse(String text) {
    int colon = text.lastIndexOf(':');
    // The pattern also rejects numbers out of range, which the JDK would look up as a host name.
    if (colon <= 0
        || !text.substring(colon + 1).matches("[0-9]{1,5}")
        || !HOST.matcher(text.substring(0, colon)).matches()) {
      throw new HostPortException("'" + text + "' is not an address and a port");
    }
    int port = Integer.parseInt(text.substring(colon + 1));
    if (port > MAX_PORT) {
      throw new HostPortException("the port of '" + text + "' exceeds " + MAX_PORT);
    }
    return new HostPort(text.substring(0, colon), port);
  }

  /**
   * Returns the socket address.
   *
   * @throws HostPortException when the host is not a numeric address
   */
  public InetSocketAddress address() {
    try {
      return new InetSocketAddress(InetAddress.getByName(host), port);
    } catch (UnknownHostException exception) {
      throw new HostPortException("'" + host + "' is not an address", exception);
    }
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
