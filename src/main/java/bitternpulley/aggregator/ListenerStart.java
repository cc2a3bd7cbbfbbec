package bitternpulley.aggregator;

import bitternpulley.net.HostPort;
import java.io.IOException;
import java.lang.System.Logger.Level;

/** Opens a listener that the process cannot do without. */
final class ListenerStart {
  private static final System.Logger LOG = System.getLogger(ListenerStart.class.getName());

  /** Exit status of a process that cannot listen at one of its addresses. */
  private static final int STATUS_CANNOT_LISTEN = 1;

  /** Begins to listen at an address. */
  interface Listening {
    void at(HostPort address) throws IOException;
  }

  private ListenerStart() {}

  /** Listens at the address, or ends the process. */
  static void open(Listening listener, HostPort address) {
    try {
      listener.at(address);
    } catch (IOException exception) {
      LOG.log(Level.ERROR, "Cannot listen at " + address, exception);
      Runtime.getRuntime().halt(STATUS_CANNOT_LISTEN);
    }
  }
}
