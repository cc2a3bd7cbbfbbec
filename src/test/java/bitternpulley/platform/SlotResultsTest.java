package bitternpulley.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import bitternpulley.broker.AttemptId;
import bitternpulley.broker.Event;
import bitternpulley.net.FrameCodec;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests the results of parts and calls, and the consequences of protocol violations. */
public class SlotResultsTest extends SlotServersHarness {
  private static final long PIECE_INTERVAL_MS = 80;

  private static void write(Socket socket, byte[] first, byte[] second) throws IOException {
    byte[] both = ByteBuffer.allocate(first.length + second.length).put(first).put(second).array();
    socket.getOutputStream().write(both);
  }

  /** One unusable result must not count against the server for all parts in flight. */
  @Test
  public void unusableResultFailsItsOwnPartAndCancelsTheOthers() throws Exception {
    start(0, 0);
    start(1, 0);
    start(2, 0);
    try (Socket socket = server.accept()) {
      for (int part = 0; part < 3; part++) {
        assertEquals(readFrame(socket), callFrame(part));
      }
      byte[] unusable = FrameCodec.encode('5', ascii("q.1 ? 7 -\n" + VALUE)).array();
      write(socket, resultFrame(2, VALUE), unusable);
      assertEquals(outcomes(3), List.of("0 CANCELLED", "1 ERROR", "2 OK"));
      assertEquals(
          socket.getInputStream().read(), -1, "the connection is closed after the violation");
    }
  }

  /**
   * A frame length that is too small truncates the value, and the rest of the value looks like
   * garbage after a valid result.
   */
  @Test
  public void garbageAfterAResultFailsItOnlyIfItsValueIsTruncated() throws Exception {
    for (int part = 0; part < 2; part++) {
      start(part, 0);
      try (Socket socket = server.accept()) {
        assertEquals(readFrame(socket), callFrame(part));
        write(socket, resultFrame(part, part == 0 ? VALUE : "000000000"), ascii("0000bad"));
        outcomes(part + 1);
        assertEquals(socket.getInputStream().read(), -1);
      }
    }
    assertEquals(outcomes(2), List.of("0 OK", "1 ERROR"));
  }

  @Test
  public void duplicateResultIsIgnored() throws Exception {
    start(0, 0);
    try (Socket socket = server.accept()) {
      assertEquals(readFrame(socket), callFrame(0));
      sendResult(socket, 0);
      assertEquals(outcomes(1), List.of("0 OK"));
      start(1, 0);
      assertEquals(readFrame(socket), callFrame(1), "over the same connection");
      sendResult(socket, 0);
      socket.getOutputStream().write(resultFrame(1, "00000000000000bb"));
      assertEquals(outcomes(2), List.of("0 OK", "1 OK"));
    }
  }

  @Test
  public void incompleteResultFailsItsPartAfterTheFrameTimeout() throws Exception {
    start(0, 0);
    try (Socket socket = server.accept()) {
      assertEquals(readFrame(socket), callFrame(0));
      socket.getOutputStream().write(resultFrame(0, VALUE), 0, 9);
      assertEquals(outcomes(1), List.of("0 ERROR"));
      assertEquals(socket.getInputStream().read(), -1);
    }
  }

  private static void writeInPieces(Socket socket, byte[] bytes, int pieceLength)
      throws IOException, InterruptedException {
    for (int begin = 0; begin < bytes.length; begin += pieceLength) {
      socket.getOutputStream().write(bytes, begin, Math.min(pieceLength, bytes.length - begin));
      TimeUnit.MILLISECONDS.sleep(PIECE_INTERVAL_MS);
    }
  }

  /** A large value that took longer than the frame timeout failed its part at every server. */
  @Test
  public void resultThatArrivesSlowlyButSteadilyEndsItsPart() throws Exception {
    start(0, 0);
    try (Socket socket = server.accept()) {
      assertEquals(readFrame(socket), callFrame(0));
      writeInPieces(socket, resultFrame(0, VALUE.repeat(2500)), 4000);
      assertEquals(outcomes(1), List.of("0 OK"));
    }
  }

  /** A result that only trickles must not keep the other results of its connection waiting. */
  @Test
  public void resultThatTricklesFailsItsPartAfterTheFrameTimeout() throws Exception {
    start(0, 0);
    try (Socket socket = server.accept()) {
      assertEquals(readFrame(socket), callFrame(0));
      byte[] result = resultFrame(0, VALUE.repeat(2500));
      long begun = System.nanoTime();
      assertThrows(IOException.class, () -> writeInPieces(socket, result, 10));
      assertEquals(outcomes(1), List.of("0 ERROR"));
      assertTrue(System.nanoTime() - begun < 2_000_000_000L);
    }
  }

  @Test
  public void frameRejectedByTheServerFailsItsPart() throws Exception {
    start(0, 0);
    try (Socket socket = server.accept()) {
      assertEquals(readFrame(socket), callFrame(0));
      socket.getOutputStream().write(FrameCodec.encode('X', ascii("what is this")).array());
      assertEquals(outcomes(1), List.of("0 ERROR"));
      assertEquals(socket.getInputStream().read(), -1);
    }
  }

  /** A call requires work in addition to that of its parts, so parts share a call. */
  @Test
  public void partsOfACallShareAFrameAndEndIndependently() throws Exception {
    startCall(0, 2, 5);
    startCall(1, 3);
    try (Socket first = server.accept()) {
      assertEquals(readFrame(first), callFrame(0, 2, 5));
      assertEquals(readFrame(first), callFrame(1, 3));
      sendResult(first, 2);
      sendResult(first, 3);
      assertEquals(outcomes(2), List.of("2 OK", "3 OK"));
      cancel(5);
      assertEquals(readFrame(first), cancelFrame(5), "one part of a call can be cancelled alone");
      sendResult(first, 0);
      awaitEvents(4);
      assertTrue(events.contains(new Event.AttemptCancelled(new AttemptId(5, 0))));
      assertTrue(
          events.stream()
              .anyMatch(e -> e instanceof Event.AttemptEnded ended && ended.attempt().part() == 0));
    }
  }

  @Test
  public void callWithTooManyPartsForAConnectionIsSentPartByPart() throws Exception {
    useSlotServers(builder().partsPerConnection(2).build());
    startCall(0, 1, 2);
    try (Socket first = server.accept();
        Socket second = server.accept()) {
      assertEquals(readFrame(first), callFrame(0));
      assertEquals(readFrame(first), callFrame(1));
      assertEquals(readFrame(second), callFrame(2));
    }
  }
}
