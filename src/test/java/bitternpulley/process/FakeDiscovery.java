package bitternpulley.process;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;

/** A fake discovery service that sends endpoint lists to its watches over chunked HTTP. */
final class FakeDiscovery implements AutoCloseable {
  /** The request targets of all watches accepted so far. */
  final List<String> watchTargets = new CopyOnWriteArrayList<>();

  /** Supplies the first list of each watch, which is sent once the call returns. */
  volatile Supplier<ObjectNode> initialList = () -> endpointList(false, List.of(), "up");

  /** Time from the request of a watch to the head of its response. */
  volatile long answerDelayNanos;

  private final List<Socket> watchConnections = new CopyOnWriteArrayList<>();
  private ServerSocket listener;
  private int revision = 41;

  FakeDiscovery() throws IOException {
    listen();
  }

  private void listen() throws IOException {
    ServerSocket opened = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    listener = opened;
    FakeSlotServer.runInDaemonThread(() -> acceptWatches(opened));
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  private void acceptWatches(ServerSocket accepting) throws IOException {
    while (true) {
      Socket socket = accepting.accept();
      FakeSlotServer.runInDaemonThread(() -> answerWatch(socket));
    }
  }

  private void answerWatch(Socket socket) throws IOException {
    String target = FakeSlotServer.readHead(socket.getInputStream())[0];
    watchTargets.add(target);
    LockSupport.parkNanos(answerDelayNanos);
    TestClient.send(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    sendChunk(socket, initialList.get() + "\n");
    watchConnections.add(socket);
  }

  private static void sendChunk(Socket socket, String text) throws IOException {
    TestClient.send(socket, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
  }

  static ObjectNode endpointList(boolean complete, List<FakeSlotServer> servers, String phase) {
    ObjectNode list =
        Deployment.JSON.createObjectNode().put("revision", 41).put("complete", complete);
    ArrayNode entries = list.putArray("members");
    for (FakeSlotServer server : servers) {
      entries
          .addObject()
          .put("id", server.id)
          .put("host_port", server.host + ":" + server.framePort())
          .put("locality", server.cell % 2 == 0 ? "gulberg" : "johar")
          .put("cell", server.cell)
          .put("phase", phase)
          .put("size", 1.0)
          .put("up_since_ms", 0);
    }
    return list;
  }

  /** Accepts watches, but sends no list on them until the latch is released. */
  void withholdInitialList(CountDownLatch release) {
    initialList =
        () -> {
          try {
            release.await();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
          return endpointList(false, List.of(), "up");
        };
  }

  /** Announces a new phase of one server under the next revision. */
  void announce(FakeSlotServer server, String phase) throws IOException {
    announceAtRevision(++revision, server, phase);
  }

  void announceAtRevision(int announcedRevision, FakeSlotServer server, String phase)
      throws IOException {
    sendToLatestWatch(
        endpointList(false, List.of(server), phase).put("revision", announcedRevision));
  }

  /** Announces a complete list under the next revision. */
  void announceCompleteList(List<FakeSlotServer> servers) throws IOException {
    sendToLatestWatch(endpointList(true, servers, "up").put("revision", ++revision));
  }

  /** Sends a list to the latest watch in two chunks, which split its line. */
  private void sendToLatestWatch(ObjectNode list) throws IOException {
    Deployment.await("a watch", () -> !watchConnections.isEmpty());
    String line = list + "\n";
    Socket socket = watchConnections.get(watchConnections.size() - 1);
    for (String piece : List.of(line.substring(0, 20), line.substring(20))) {
      sendChunk(socket, piece);
      socket.getOutputStream().flush();
    }
  }

  /** Accepts new watches on another port only; the open watches stay open. */
  void moveToAnotherPort() throws IOException {
    listener.close();
    listen();
  }

  void closeWatches() throws IOException {
    for (Socket socket : watchConnections) {
      socket.close();
    }
    watchConnections.clear();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    closeWatches();
  }
}
