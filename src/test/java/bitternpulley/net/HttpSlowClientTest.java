package bitternpulley.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.Test;

/** Tests clients that send more than the server buffers, or do not read their response. */
public class HttpSlowClientTest extends HttpServerHarness {
  @Test
  public void answersPipelinedRequestsInOrderAndRejectsRequestsBeyondBuffer() throws Exception {
    // Far more than the kernel buffers: once all of it is written, the server has read more than it
    // buffers.
    int requestCount = 400;
    try (Socket client = connect(request("/held", ""))) {
      awaitCondition("the request is in progress", () -> openExchanges.size() == 1);
      write(client, request("/ahead", "x".repeat(60_000)).repeat(requestCount));
      loop.execute(() -> openExchanges.get(0).reply(errorResponse(200, "at last")));
      assertEquals(readStatus(client), 200);
      int answered = 0;
      int status = readStatus(client);
      while (status == 200) {
        answered++;
        status = readStatus(client);
      }
      assertEquals(status, 413, "number of responses before: " + answered);
      assertEquals(answered, 4, "as many requests as are buffered");
      assertEquals(client.getInputStream().read(), -1);
    }
  }

  @Test
  public void servesOtherClientsWhileOneDoesNotRead() throws Exception {
    try (Socket slow = new Socket()) {
      slow.setReceiveBufferSize(2048);
      slow.connect(new InetSocketAddress(address.host(), address.port()));
      write(slow, request("/held", ""));
      awaitCondition("the request is in progress", () -> openExchanges.size() == 1);
      byte[] large = new byte[900_000];
      loop.execute(() -> openExchanges.get(0).reply(new HttpServer.Response(200, Map.of(), large)));
      for (int i = 0; i < 50; i++) {
        try (Socket other = connect(request("/other", ""))) {
          assertEquals(readStatus(other), 200);
        }
      }
    }
  }

  /** Many small requests that one client sends ahead must not delay the requests of others. */
  @Test
  public void servesOtherClientsBetweenRequestsSentAhead() throws Exception {
    int requestCount = 8_000;
    String ahead = "GET /ahead HTTP/1.1\r\n\r\n".repeat(requestCount);
    try (Socket client = connect(request("/held", ""));
        Socket other = connect("")) {
      awaitCondition("the request is in progress", () -> openExchanges.size() == 1);
      write(client, ahead);
      awaitCondition("the requests to be read", () -> heldBytes() >= ahead.length());
      whileLoopIsBlocked(
          () -> {
            write(other, request("/other", ""));
            openExchanges.get(0).reply(errorResponse(200, "at last"));
          });
      assertEquals(readStatus(other), 200);
      int handledBefore = handled.indexOf("/other");
      assertTrue(handledBefore < requestCount / 2, "requests handled before: " + handledBefore);
    }
  }

  private long heldBytes() {
    AtomicLong bytes = new AtomicLong();
    loop.runInTurn(() -> bytes.set(server.memoryBudget().totalBytes()));
    return bytes.get();
  }
}
