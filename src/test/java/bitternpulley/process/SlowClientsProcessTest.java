package bitternpulley.process;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a process that passes its memory limit, and is killed for it, while hundreds of
 * clients are connected that write slowly or stop in the middle of a request.
 */
public class SlowClientsProcessTest extends ProcessTest {
  /** The memory limit of the deploy file, in MiB. */
  private static final int MEMORY_LIMIT_MIB = 192;

  private static final int SENDERS = 40;

  /** Bytes that a slow client sends at once. */
  private static final int SLOW_PIECE_BYTES = 16;

  private static final int LARGE_PIECE_BYTES = 1 << 20;

  private volatile boolean ended;
  private final List<Socket> sockets = new ArrayList<>();

  @AfterMethod(alwaysRun = true)
  public void closeSockets() throws IOException {
    ended = true;
    synchronized (sockets) {
      for (Socket socket : sockets) {
        socket.close();
      }
      sockets.clear();
    }
  }

  private static String shortHeaders(int bytes) {
    StringBuilder headers = new StringBuilder();
    for (int number = 0; headers.length() < bytes; number++) {
      headers.append(Integer.toString(number, 36)).append(":\r\n");
    }
    return headers.toString();
  }

  @DataProvider
  public Object[][] forms() {
    String query = "POST /slot-search HTTP/1.1\r\n";
    String search = "POST /slots/_search HTTP/1.1\r\n";
    String chunked = "Transfer-Encoding: chunked\r\n\r\n";
    int all = LARGE_PIECE_BYTES;
    return new Object[][] {
      {"heads written slowly", 640, false, query + shortHeaders(15_000), SLOW_PIECE_BYTES},
      {
        "half of a large body",
        640,
        false,
        query + "Content-Length: 65000\r\n\r\n" + "x".repeat(32_000),
        all
      },
      {"heads of short headers", 640, false, query + shortHeaders(16_000), all},
      {"small chunks", 640, false, query + chunked + "1\r\nx\r\n".repeat(30_000), all},
      {
        "small chunks written slowly", 640, true, search + chunked + "1\r\nx\r\n".repeat(9_000), 600
      },
      {"requests sent ahead", 300, false, "GET /-/healthy HTTP/1.1\r\n\r\n".repeat(20_000), all},
      {
        "whole heads of short headers sent ahead",
        300,
        false,
        ("GET /-/healthy HTTP/1.1\r\n" + shortHeaders(16_000) + "\r\n").repeat(20),
        all
      },
    };
  }

  /** The clients connect anew whenever the program has ended their connection. */
  @Test(dataProvider = "forms")
  public void staysWithinItsMemoryWhileClientsAreSlow(
      String form, int clients, boolean bothFronts, String text, int pieceBytes) throws Exception {
    ended = false;
    byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
    ExecutorService executor = Executors.newFixedThreadPool(SENDERS);
    for (int sender = 0; sender < SENDERS; sender++) {
      String address =
          bothFronts && sender % 2 == 0 ? deployment.searchListenAddress : deployment.listenAddress;
      executor.execute(() -> sendTo(address, clients / SENDERS, bytes, pieceBytes));
    }
    executor.shutdown();
    List<SoundQueries.Answer> answers = SoundQueries.answers(deployment);
    long peakMib = ResidentMemory.peakMib(deployment.process);
    ended = true;
    assertTrue(executor.awaitTermination(30, TimeUnit.SECONDS));
    System.out.println(
        form + ": peak " + peakMib + " MiB, slowest " + SoundQueries.slowestMs(answers) + " ms");
    assertTrue(peakMib < MEMORY_LIMIT_MIB, form + ": " + peakMib + " MiB");
    assertTrue(deployment.process.isAlive(), form);
    assertTrue(answers.stream().allMatch(answer -> answer.status() == 200), form + answers);
  }

  /** Writes to several connections in turn, a piece each. */
  private void sendTo(String address, int count, byte[] bytes, int pieceBytes) {
    Socket[] open = new Socket[count];
    int[] sent = new int[count];
    while (!ended) {
      for (int index = 0; index < count && !ended; index++) {
        try {
          if (open[index] == null) {
            open[index] = connect(address);
            sent[index] = 0;
          }
          int length = Math.min(pieceBytes, bytes.length - sent[index]);
          open[index].getOutputStream().write(bytes, sent[index], length);
          sent[index] += length;
          discardInput(open[index]);
        } catch (IOException closedByProgram) {
          open[index] = null;
        }
      }
      pause();
    }
  }

  private Socket connect(String address) throws IOException {
    Socket socket = TestClient.connect(address);
    socket.setSoTimeout(1);
    synchronized (sockets) {
      sockets.add(socket);
    }
    return socket;
  }

  private static void discardInput(Socket socket) throws IOException {
    int available = socket.getInputStream().available();
    if (available > 0 && socket.getInputStream().skip(available) == 0) {
      throw new IOException("closed");
    }
  }

  private static void pause() {
    try {
      TimeUnit.MILLISECONDS.sleep(10);
    } catch (InterruptedException exception) {
      throw new IllegalStateException(exception);
    }
  }
}
