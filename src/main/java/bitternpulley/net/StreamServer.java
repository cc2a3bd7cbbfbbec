package bitternpulley.net;

import java.io.IOException;
import java.util.function.Function;

/** Accepts connections and leaves the protocol to their owners; used by server emulators. */
public final class StreamServer {
  private static final int BACKLOG = 512;

  private final Function<Connection, Connection.Owner> ownerFactory;
  private AcceptLoop acceptLoop;

  /** Creates a server; {@code ownerFactory} returns the owner of each accepted connection. */
  public StreamServer(Function<Connection, Connection.Owner> ownerFactory) {
    this.ownerFactory = ownerFactory;
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
            connection -> connection.start(ownerFactory.apply(connection)));
    loop.execute(acceptLoop::acceptNext);
    return new HostPort(address.host(), listener.port());
  }

  /** Accepts no more connections. */
  public void close() {
    acceptLoop.close();
  }
}
