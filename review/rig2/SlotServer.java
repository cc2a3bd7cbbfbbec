import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;

/** A slot server in the platform's frames. It answers each part after a time, unless told else. */
class SlotServer {
  /** One part as it came. */
  record Part(Connection connection, String id, int shard, String list, int textLength) {}

  final String id;
  final String address;
  final int cell;
  private final ServerSocket listener;
  protected final Rig rig;
  volatile double workMs = 20;
  volatile boolean silent;

  SlotServer(Rig rig, String id, String host, int cell) throws IOException {
    this.rig = rig;
    this.id = id;
    this.cell = cell;
    listener = new ServerSocket(0, 1000, InetAddress.getByName(host));
    address = host + ":" + listener.getLocalPort();
    Discovery.daemon(this::accept);
  }

  private void accept() {
    try {
      while (true) {
        new Connection(listener.accept());
      }
    } catch (IOException closed) {
      // The server is down.
    }
  }

  void stopListening() throws IOException {
    listener.close();
  }

  /** A part has come whole. */
  void onPart(Part part) {
    if (!silent) {
      Discovery.daemon(
          () -> {
            Rig.sleep(workMs);
            answer(part, "S", Rig.hex(part.id().hashCode() & 0xffffffffL));
          });
    }
  }

  /** A part has been given up by a frame. */
  void onCancel(Connection connection, String partId) {}

  /** A connection has ended. */
  void onClose(Connection connection) {}

  final void answer(Part part, String end, String value) {
    part.connection().send('5', part.id() + " " + end + " 0 -\n" + value);
  }

  /** A connection from an aggregator. */
  final class Connection {
    final Socket socket;

    Connection(Socket socket) throws IOException {
      this.socket = socket;
      socket.setTcpNoDelay(true);
      Discovery.daemon(this::serve);
    }

    private void serve() {
      try {
        DataInputStream in =
            new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream()));
        byte[] length = new byte[4];
        while (true) {
          in.readFully(length);
          byte[] frame =
              new byte[ByteBuffer.wrap(length).order(ByteOrder.LITTLE_ENDIAN).getInt()];
          in.readFully(frame);
          handle(frame);
        }
      } catch (IOException ended) {
        onClose(this);
      }
    }

    private void handle(byte[] frame) {
      String text = new String(frame, 1, frame.length - 1, StandardCharsets.ISO_8859_1);
      if (frame[0] == '2') {
        onCancel(this, text);
      } else if (frame[0] == '1') {
        int at = 0;
        while (at < text.length()) {
          int end = text.indexOf('\n', at);
          String[] words = text.substring(at, end).split(" ");
          int size = Integer.parseInt(words[3]);
          onPart(new Part(this, words[0], Integer.parseInt(words[1]), words[2], size));
          at = end + 1 + size;
        }
      }
    }

    synchronized void send(char letter, String rest) {
      byte[] bytes = rest.getBytes(StandardCharsets.ISO_8859_1);
      ByteBuffer frame = ByteBuffer.allocate(5 + bytes.length).order(ByteOrder.LITTLE_ENDIAN);
      frame.putInt(1 + bytes.length).put((byte) letter).put(bytes);
      try {
        socket.getOutputStream().write(frame.array());
      } catch (IOException ended) {
        // The aggregator has closed the connection.
      }
    }
  }
}
