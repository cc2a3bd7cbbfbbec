package bitternpulley.net;

import java.io.IOException;
import java.util.function.Function;

/** Accepts connections whose protocol is up to their owners, for emulators of other servers. */
public final class StreamServer {
  private static final int BACKLOG = 512;

  private final Function<Connection, Connection.Owner> owners;
  private AcceptLoop acceptLoop;

  /** Creates a server; {@code owners} returns the owner of each connection as it is accepted. */
  public StreamServer(Function<Connection, Connection.Owner> owners) {
    this.owners = owners;
  }

  /** Starts to listen and returns the bound address; port 0 stands for any free port. */
  public HostPort listen(EventLoop loop, HostPort address) throws IOException {
    AddressListener listener = AddressListener.bind(loop, address, BACKLOG);
    acceptLoop =
        new AcceptLoop(
            loop,
            listener,
            AcceptLoop.FailureAction.STOP,
            () -> true,
            connection -> connection.start(owners.apply(connection)));
    loop.execute(acceptLoop::acceptNext);
    return new HostPort(address.host(), listener.port());
  }

  /** Accepts no more connections. */
  public void close() {
    acceptLoop.close();
  }
}
