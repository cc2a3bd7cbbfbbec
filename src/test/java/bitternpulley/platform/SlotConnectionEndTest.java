package bitternpulley.platform;

import static org.testng.Assert.assertEquals;

import bitternpulley.broker.AttemptId;
import bitternpulley.broker.Event;
import bitternpulley.routing.Router;
import java.net.Socket;
import java.util.List;
import org.testng.annotations.Test;

/** Tests the outcomes of attempts when their connection ends. */
public class SlotConnectionEndTest extends SlotServersHarness {

  @Test
  public void endsPartsInFlightAsResetWhenARetiredConnectionEnds() throws Exception {
    start(0, 0);
    start(1, 0);
    try (Socket first = server.accept()) {
      assertEquals(readFrame(first), callFrame(0));
      assertEquals(readFrame(first), callFrame(1));
      cancel(0);
      assertEquals(readFrame(first), cancelFrame(0));
      awaitEvents(1);
    }
    awaitEvents(2);
    assertEquals(
        events,
        List.of(
            new Event.AttemptCancelled(new AttemptId(0, 0)),
            new Event.AttemptEnded(new AttemptId(1, 0), Router.Outcome.RESET, null)));
  }

  /**
   * The owner may respond to the end of one attempt by cancelling another on the same connection.
   */
  @Test
  public void endsEachPartOnARefusedConnectionEvenIfOneIsCancelledMeanwhile() throws Exception {
    server.close();
    servers =
        new SlotServersBuilder(
                loop,
                event -> {
                  events.add(event);
                  if (event instanceof Event.AttemptEnded ended && ended.attempt().part() == 0) {
                    cancelOnLoop(1);
                  }
                })
            .build();
    loop.execute(
        () -> {
          servers.setAddress("s", address());
          for (int part = 0; part < 3; part++) {
            servers.start(attempt(part, 0));
          }
        });
    assertEquals(outcomes(3), List.of("0 UNREACHABLE", "1 UNREACHABLE", "2 UNREACHABLE"));
  }

  /** After a reset the parts may have run; the incomplete result does not count. */
  @Test
  public void endsEachPartOnceAsResetAfterAResetWithinAResult() throws Exception {
    start(0, 0);
    start(1, 0);
    try (Socket socket = server.accept()) {
      assertEquals(readFrame(socket), callFrame(0));
      assertEquals(readFrame(socket), callFrame(1));
      socket.getOutputStream().write(resultFrame(0, VALUE), 0, 9);
      socket.setSoLinger(true, 0);
    }
    assertEquals(outcomes(2), List.of("0 RESET", "1 RESET"));
  }

  @Test
  public void endsEachPartOfACallAsResetWhenItsConnectionEnds() throws Exception {
    startCall(0, 1, 2);
    try (Socket first = server.accept()) {
      assertEquals(readFrame(first), callFrame(0, 1, 2));
    }
    assertEquals(outcomes(3), List.of("0 RESET", "1 RESET", "2 RESET"));
  }
}
