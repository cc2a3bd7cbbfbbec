package bitternpulley.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests a connection to a peer that the test implements with a plain socket. */
public class ConnectionTest implements Connection.Owner {
  private static final int TIMEOUT_MS = 30_000;
  private static final int PIECE_BYTES = 64 * 1024;

  private final CountDownLatch connected = new CountDownLatch(1);
  private int writtenPieces;

  @Override
  public void received(ByteBuffer bytes) {
    bytes.position(bytes.limit());
  }

  @Override
  public void closed() {
    // the peer closes the connection
  }

  private static ByteBuffer piece(int content) {
    byte[] bytes = new byte[PIECE_BYTES];
    Arrays.fill(bytes, (byte) content);
    return ByteBuffer.wrap(bytes);
  }

  @Test
  public void cancelsQueuedWriteUnlessItHasStarted() throws Exception {
    EventLoop loop = new EventLoop();
    try (ServerSocket server = new ServerSocket()) {
      server.setReceiveBufferSize(4096);
      server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      Connection[] connection = new Connection[1];
      loop.execute(
          () ->
              connection[0] =
                  Connection.open(
                      loop,
                      new HostPort("127.0.0.1", server.getLocalPort()),
                      5000,
                      this,
                      connected::countDown));
      try (Socket peer = server.accept()) {
        peer.setSoTimeout(TIMEOUT_MS);
        assertTrue(connected.await(TIMEOUT_MS, TimeUnit.MILLISECONDS));
        int[] sent = new int[1];
        loop.runInTurn(
            () -> {
              ByteBuffer started;
              do { // until the kernel accepts only part of a piece
                started = piece(1);
                connection[0].write(started, () -> writtenPieces++);
                sent[0]++;
              } while (writtenPieces == sent[0]);
              ByteBuffer queued = piece(2);
              connection[0].write(queued, () -> writtenPieces++);
              connection[0].write(piece(3), () -> writtenPieces++);
              assertFalse(connection[0].cancelWrite(started), "the kernel has accepted part of it");
              assertTrue(connection[0].cancelWrite(queued));
              assertFalse(connection[0].cancelWrite(queued), "a write can be cancelled only once");
            });
        assertEquals(readPieces(peer, sent[0] + 1), "1".repeat(sent[0]) + "3");
      }
    }
  }

  /** Timers and queues may refer to a closed connection for seconds. */
  @Test
  public void closedConnectionHoldsNoReadBuffer() throws Exception {
    EventLoop loop = new EventLoop();
    try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      HostPort address = new HostPort("127.0.0.1", server.getLocalPort());
      int[] sizes = new int[2];
      loop.runInTurn(
          () -> {
            Connection connection = Connection.open(loop, address, 5000, this, () -> {});
            sizes[0] = connection.readBufferSize();
            connection.close();
            sizes[1] = connection.readBufferSize();
          });
      assertTrue(sizes[0] > 0);
      assertEquals(sizes[1], 0);
    }
  }

  @Test
  public void adaptsReadBufferSizeToSizeOfLastRead() throws Exception {
    EventLoop loop = new EventLoop();
    LinkedBlockingQueue<Integer> readSizes = new LinkedBlockingQueue<>();
    Connection.Owner sizeRecorder =
        new Connection.Owner() {
          @Override
          public void received(ByteBuffer bytes) {
            readSizes.add(bytes.remaining());
          }

          @Override
          public void closed() {
            // the peer closes the connection
          }
        };
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      Connection[] connection = new Connection[1];
      loop.execute(
          () ->
              connection[0] =
                  Connection.open(
                      loop,
                      new HostPort("127.0.0.1", server.getLocalPort()),
                      5000,
                      sizeRecorder,
                      () -> {}));
      try (Socket peer = server.accept()) {
        peer.getOutputStream().write(new byte[PIECE_BYTES]);
        awaitBytes(readSizes, PIECE_BYTES);
        int[] size = new int[1];
        loop.runInTurn(() -> size[0] = connection[0].readBufferSize());
        assertTrue(size[0] > 512, "grown to " + size[0]);
        peer.getOutputStream().write(new byte[10]);
        awaitBytes(readSizes, 10);
        loop.runInTurn(() -> size[0] = connection[0].readBufferSize());
        assertEquals(size[0], 512);
      }
    }
  }

  private static void awaitBytes(LinkedBlockingQueue<Integer> readSizes, int bytes)
      throws InterruptedException {
    for (int remaining = bytes; remaining > 0; ) {
      Integer size = readSizes.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
      assertTrue(size != null, remaining + " bytes did not arrive");
      remaining -= size;
    }
  }

  private static String readPieces(Socket peer, int count) throws IOException {
    StringBuilder contents = new StringBuilder();
    for (int i = 0; i < count; i++) {
      byte[] piece = peer.getInputStream().readNBytes(PIECE_BYTES);
      byte first = piece[0];
      for (byte next : piece) {
        assertEquals(next, first);
      }
      contents.append(first);
    }
    return contents.toString();
  }
}
