package bitternpulley.net;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.util.function.Function;

/**
 * Listens for connections whose bytes are their owner's affair; for stand-ins of servers whose wire
 * is not HTTP.
 */
public final class StreamServer {
  private static final System.Logger LOG = System.getLogger(StreamServer.class.getName());
  private static final int BACKLOG = 512;

  private final Function<Connection, Connection.Owner> owners;
  private AddressListener listener;

  /** {@code owners} gives each connection, as it comes, whoever reads it. */
  public StreamServer(Function<Connection, Connection.Owner> owners) {
    this.owners = owners;
  }

  /** Begins to listen; port 0 for any that is free. The address that was bound is returned. */
  public HostPort listen(EventLoop loop, HostPort at) throws IOException {
    listener = new AddressListener(loop, at, BACKLOG, false);
    loop.execute(this::accept);
    return new HostPort(at.host(), listener.port());
  }

  private void accept() {
    listener.accept(
        connection -> {
          connection.start(owners.apply(connection));
          accept();
        },
        error -> {
          if (listener.isOpen()) {
            LOG.log(Level.WARNING, "accept failed: " + error);
          }
        });
  }

  /** Takes no more connections. */
  public void close() {
    listener.close();
  }
}
