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

/** One connection to a peer whose side the test plays. */
public class ConnectionTest implements Connection.Owner {
  private static final int PATIENCE_MS = 30_000;
  private static final int PIECE = 64 * 1024;

  private final CountDownLatch connected = new CountDownLatch(1);
  private int writtenPieces;

  @Override
  public void received(ByteBuffer bytes) {
    bytes.position(bytes.limit());
  }

  @Override
  public void closed() {
    // the peer ends it
  }

  private static ByteBuffer piece(int content) {
    byte[] bytes = new byte[PIECE];
    Arrays.fill(bytes, (byte) content);
    return ByteBuffer.wrap(bytes);
  }

  @Test
  public void cancelsAQueuedWriteUnlessItHasStarted() throws Exception {
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
        peer.setSoTimeout(PATIENCE_MS);
        assertTrue(connected.await(PATIENCE_MS, TimeUnit.MILLISECONDS));
        int[] sent = new int[1];
        loop.inTurn(
            () -> {
              ByteBuffer started;
              do { // until the kernel does not take all of one
                started = piece(1);
                connection[0].write(started, () -> writtenPieces++);
                sent[0]++;
              } while (writtenPieces == sent[0]);
              ByteBuffer queued = piece(2);
              connection[0].write(queued, () -> writtenPieces++);
              connection[0].write(piece(3), () -> writtenPieces++);
              assertFalse(connection[0].cancelWrite(started), "the kernel has taken a part of it");
              assertTrue(connection[0].cancelWrite(queued));
              assertFalse(connection[0].cancelWrite(queued), "only once");
            });
        assertEquals(read(peer, sent[0] + 1), "1".repeat(sent[0]) + "3");
      }
    }
  }

  @Test
  public void adaptsTheReadBufferToWhatArrives() throws Exception {
    EventLoop loop = new EventLoop();
    LinkedBlockingQueue<Integer> read = new LinkedBlockingQueue<>();
    Connection.Owner counts =
        new Connection.Owner() {
          @Override
          public void received(ByteBuffer bytes) {
            read.add(bytes.remaining());
          }

          @Override
          public void closed() {
            // the peer ends it
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
                      counts,
                      () -> {}));
      try (Socket peer = server.accept()) {
        peer.getOutputStream().write(new byte[PIECE]);
        await(read, PIECE);
        int[] size = new int[1];
        loop.inTurn(() -> size[0] = connection[0].readBufferSize());
        assertTrue(size[0] > 512, "grown to " + size[0]);
        peer.getOutputStream().write(new byte[10]);
        await(read, 10);
        loop.inTurn(() -> size[0] = connection[0].readBufferSize());
        assertEquals(size[0], 512);
      }
    }
  }

  private static void await(LinkedBlockingQueue<Integer> read, int bytes)
      throws InterruptedException {
    for (int left = bytes; left > 0; ) {
      Integer next = read.poll(PATIENCE_MS, TimeUnit.MILLISECONDS);
      assertTrue(next != null, left + " bytes did not come");
      left -= next;
    }
  }

  private static String read(Socket peer, int pieces) throws IOException {
    StringBuilder contents = new StringBuilder();
    for (int i = 0; i < pieces; i++) {
      byte[] piece = peer.getInputStream().readNBytes(PIECE);
      byte first = piece[0];
      for (byte next : piece) {
        assertEquals(next, first);
      }
      contents.append(first);
    }
    return contents.toString();
  }
}
