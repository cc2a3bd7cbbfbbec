package bitternpulley.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
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

  private final CountDownLatch up = new CountDownLatch(1);
  private int gone;

  @Override
  public void received(ByteBuffer bytes) {
    bytes.position(bytes.limit());
  }

  @Override
  public void closed() {
    // as its peer ends it
  }

  private static ByteBuffer piece(int of) {
    byte[] bytes = new byte[PIECE];
    Arrays.fill(bytes, (byte) of);
    return ByteBuffer.wrap(bytes);
  }

  /**
   * Guards against what waits behind a peer that does not read, and goes to it when nobody wants it
   * any more.
   */
  @Test
  public void whatWaitsBehindAPeerThatDoesNotReadCanBeTakenBackUnlessItHasBegunToGo()
      throws Exception {
    EventLoop loop = new EventLoop();
    try (ServerSocket server = new ServerSocket()) {
      server.setReceiveBufferSize(4096);
      server.bind(new java.net.InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
      Connection[] made = new Connection[1];
      loop.execute(
          () ->
              made[0] =
                  Connection.open(
                      loop,
                      new HostPort("127.0.0.1", server.getLocalPort()),
                      5000,
                      this,
                      up::countDown));
      try (Socket peer = server.accept()) {
        peer.setSoTimeout(PATIENCE_MS);
        assertTrue(up.await(PATIENCE_MS, TimeUnit.MILLISECONDS));
        int[] sent = new int[1];
        loop.inTurn(
            () -> {
              ByteBuffer begun;
              do { // until the machine takes no more of one
                begun = piece(1);
                made[0].write(begun, () -> gone++);
                sent[0]++;
              } while (gone == sent[0]);
              ByteBuffer taken = piece(2);
              made[0].write(taken, () -> gone++);
              made[0].write(piece(3), () -> gone++);
              assertFalse(made[0].takeBack(begun), "it is being written");
              assertTrue(made[0].takeBack(taken));
              assertFalse(made[0].takeBack(taken), "only once");
            });
        assertEquals(read(peer, sent[0] + 1), "1".repeat(sent[0]) + "3");
      }
    }
  }

  /** Guards against thousands of idle links that each hold the memory of a busy one. */
  @Test
  public void theReadBufferFollowsWhatComes() throws Exception {
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
            // as its peer ends it
          }
        };
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      Connection[] made = new Connection[1];
      loop.execute(
          () ->
              made[0] =
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
        loop.inTurn(() -> size[0] = made[0].readBufferSize());
        assertTrue(size[0] > 512, "grown to " + size[0]);
        peer.getOutputStream().write(new byte[10]);
        await(read, 10);
        loop.inTurn(() -> size[0] = made[0].readBufferSize());
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
    StringBuilder kinds = new StringBuilder();
    for (int i = 0; i < pieces; i++) {
      byte[] piece = peer.getInputStream().readNBytes(PIECE);
      byte first = piece[0];
      for (byte b : piece) {
        assertEquals(b, first);
      }
      kinds.append(first);
    }
    return kinds.toString();
  }
}
