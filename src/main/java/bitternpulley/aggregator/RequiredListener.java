package bitternpulley.aggregator;

import bitternpulley.net.HostPort;
import java.io.IOException;
import java.lang.System.Logger.Level;

/** Opens a listener without which the process cannot run. */
final class RequiredListener {
  private static final System.Logger LOG = System.getLogger(RequiredListener.class.getName());

  /** Exit status of a process that cannot listen at one of its addresses. */
  private static final int STATUS_CANNOT_LISTEN = 1;

  /** Starts to listen at an address. */
  interface ListenAction {
    void listen(HostPort address) throws IOException;
  }

  private RequiredListener() {}

  /** Starts to listen at the address; terminates the process if that fails. */
  static void open(ListenAction action, HostPort address) {
    try {
      action.listen(address);
    } catch (IOException exception) {
      LOG.log(Level.ERROR, "Cannot listen at " + address, exception);
      Runtime.getRuntime().halt(STATUS_CANNOT_LISTEN);
    }
  }
}
