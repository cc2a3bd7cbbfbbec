package bitternpulley.net;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** One connection to a {@link LineServer}: reads a line, then writes one and closes. */
final class LineSession implements Connection.Owner {
  private static final int MAX_LINE_LENGTH = 512;

  /** Time that the client has to send the line and to read the response. */
  private static final double SESSION_TIMEOUT_MS = 10_000;

  private final Connection connection;
  private final LineServer.Handler handler;
  private final Consumer<LineSession> onClosed;
  private final StringBuilder line = new StringBuilder();
  private boolean lineReceived;

  LineSession(
      EventLoop loop,
      Connection connection,
      LineServer.Handler handler,
      Consumer<LineSession> onClosed) {
    this.connection = connection;
    this.handler = handler;
    this.onClosed = onClosed;
    loop.schedule(SESSION_TIMEOUT_MS, connection::close);
  }

  @Override
  public void received(ByteBuffer bytes) {
    while (!lineReceived && bytes.hasRemaining()) {
      char next = (char) (bytes.get() & 0xff);
      if (next == '\n') {
        stopReading();
        handler.handleLine(line.toString().strip(), this::respond);
      } else if (line.append(next).length() > MAX_LINE_LENGTH) {
        stopReading();
        respond(handler.lineTooLong());
      }
    }
  }

  /** Stops reading, so that a client that half-closes after its line still gets the response. */
  private void stopReading() {
    lineReceived = true;
    connection.pauseReading();
  }

  private void respond(String text) {
    connection.write(ByteBuffer.wrap((text + "\n").getBytes(StandardCharsets.UTF_8)), () -> {});
    connection.closeGracefully();
  }

  /** Returns whether the line has arrived or is too long. */
  boolean hasReceivedLine() {
    return lineReceived;
  }

  /** Closes the connection at once. */
  void close() {
    connection.close();
  }

  @Override
  public void closed() {
    onClosed.accept(this);
  }
}
