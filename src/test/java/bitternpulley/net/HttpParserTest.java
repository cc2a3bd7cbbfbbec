package bitternpulley.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the grammar and the limits of the HTTP parser, of frames and of addresses. */
public class HttpParserTest {
  private final List<String> seen = new ArrayList<>();

  private HttpParser parser(boolean parsesResponses, long maxBodyBytes) {
    seen.clear();
    return new HttpParser(
        parsesResponses,
        maxBodyBytes,
        new HttpParser.Sink() {
          private final StringBuilder body = new StringBuilder();

          @Override
          public void head(HttpHead head) {
            seen.add(head.method() + " " + head.target());
          }

          @Override
          public void body(ByteBuffer piece) {
            body.append(StandardCharsets.ISO_8859_1.decode(piece));
          }

          @Override
          public void end() {
            seen.add(body.toString());
            body.setLength(0);
          }
        });
  }

  private static ByteBuffer bytes(String text) {
    return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  @Test
  public void parsesMessagesSplitAnywhere() {
    String messages =
        "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"
            + "POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            + "2;e=1\r\nde\r\n1\r\nf\r\n0\r\nT: x\r\n\r\n";
    HttpParser whole = parser(false, 10);
    ByteBuffer all = bytes(messages);
    assertTrue(whole.read(all));
    assertTrue(all.hasRemaining(), "reads one message at a time");
    assertTrue(whole.read(all));
    List<String> expected = List.of("POST /a", "abc", "POST /b", "def");
    assertEquals(seen, expected);
    HttpParser split = parser(false, 10);
    for (int i = 0; i < messages.length(); i++) {
      split.read(bytes(String.valueOf(messages.charAt(i))));
    }
    assertEquals(seen, expected);
    assertTrue(split.isBetweenMessages());
  }

  @DataProvider
  public Object[][] invalidRequests() {
    return new Object[][] {
      {"GET / HTTP/2\r\n\r\n", 400},
      {"get / HTTP/1.1\r\n\r\n", 400},
      {"GET / HTTP/1.1\r\nno colon\r\n\r\n", 400},
      {"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
      {"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n", 400},
      {"POST / HTTP/1.1\r\nContent-Length: -3\r\n\r\n", 400},
      {"GET / HTTP/1.1\r\nA: \0\r\n\r\n", 400},
      {"POST / HTTP/1.1\r\nContent-Length : 3\r\n\r\n", 400},
      {"GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", 400},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", 400},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", 400},
      {"POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n", 413},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nb\r\nabcdefghijk\r\n", 413},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1 2\r\n", 400},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\r\n", 400},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n123456789\r\n", 400},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;" + "a".repeat(300), 431},
      {"GET / HTTP/1.1\r\n" + "a:\r\n".repeat(2_100), 431},
      {"GET /" + "a".repeat(20_000), 431},
      {"GET / HTTP/1.1\r\n" + "A: b\r\n".repeat(5000), 431}
    };
  }

  @Test(dataProvider = "invalidRequests")
  public void rejectsViolationsOfGrammarOrLimits(String text, int status) {
    HttpParser parser = parser(false, 10);
    assertEquals(
        expectThrows(HttpException.class, () -> parser.read(bytes(text))).status(), status);
  }

  @Test
  public void rejectsHeaderOnceItsLineEnds() {
    HttpParser parser = parser(false, 10);
    parser.read(bytes("GET / HTTP/1.1\r\nno colon"));
    assertThrows(HttpException.class, () -> parser.read(bytes("\r\n")));
  }

  @Test
  public void joinsRepeatedHeadersAndStripsTheirValues() {
    List<HttpHead> heads = new ArrayList<>();
    HttpMessageAggregator aggregator =
        new HttpMessageAggregator(heads::add, (head, body) -> seen.add("complete"));
    new HttpParser(false, 10, aggregator)
        .read(
            bytes(
                String.join(
                    "\r\n",
                    "GET / HTTP/1.1",
                    "Cookie: a=1",
                    "ACCEPT:\t text ",
                    "cookie: b=2\naccept: json",
                    "Empty:",
                    "latin: \u00e9\u00a0",
                    "Accept: text",
                    "",
                    "")));
    assertEquals(
        heads.get(0).headers(),
        Map.ofEntries(
            Map.entry("cookie", "a=1; b=2"),
            Map.entry("accept", "text, json, text"),
            Map.entry("empty", ""),
            Map.entry("latin", "\u00e9\u00a0")));
  }

  @DataProvider
  public Object[][] incompleteHeads() {
    return new Object[][] {
      {"GET / HTTP/1.1\r\n" + "a: 1\r\n".repeat(2000)},
      {"GET / HTTP/1.1\r\na: " + "1".repeat(12_000)},
      {"GET /" + "a".repeat(12_000)},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + "a".repeat(12_000)}
    };
  }

  /** Parsed headers would occupy many times the bytes that were sent. */
  @Test(dataProvider = "incompleteHeads")
  public void occupiesAboutTheBytesOfAnIncompleteHead(String text) {
    HttpParser parser = parser(false, 10);
    parser.read(bytes(text));
    assertTrue(parser.heldBytes() >= 12_000, "held: " + parser.heldBytes());
    assertTrue(parser.heldBytes() <= 2 * text.length(), "held: " + parser.heldBytes());
    parser.discard();
    assertEquals(parser.heldBytes(), 0);
  }

  @Test
  public void endsResponseWithoutLengthAtEndOfConnection() {
    HttpParser parser = parser(true, 10);
    assertFalse(parser.read(bytes("HTTP/1.1 200 OK\r\n\r\nabc")));
    assertTrue(parser.handleEndOfConnection());
    assertEquals(seen, List.of("HTTP/1.1 200", "abc"));
    HttpParser truncated = parser(true, 10);
    truncated.read(bytes("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc"));
    assertFalse(truncated.handleEndOfConnection());
  }

  @Test
  public void decodesFramesSplitAnywhereAndRejectsInvalidLengths() {
    FrameCodec codec = new FrameCodec();
    List<String> frames = new ArrayList<>();
    ByteBuffer encoded =
        ByteBuffer.allocate(100)
            .put(FrameCodec.encode('1', "abc".getBytes(StandardCharsets.US_ASCII)))
            .put(FrameCodec.encode('3', new byte[0]))
            .flip();
    while (encoded.hasRemaining()) {
      codec.read(
          ByteBuffer.wrap(new byte[] {encoded.get()}),
          frame ->
              frames.add(
                  frame.typeCode() + new String(frame.payload(), StandardCharsets.US_ASCII)));
    }
    assertEquals(frames, List.of("1abc", "3"));
    assertThrows(
        FrameException.class,
        () -> codec.read(ByteBuffer.wrap(new byte[] {-1, -1, -1, 127}), f -> {}));
    assertThrows(
        FrameException.class, () -> new FrameCodec().read(ByteBuffer.wrap(new byte[4]), f -> {}));
  }

  @Test
  public void parsesOnlyNumericAddressesWithAPort() {
    assertEquals(HostPort.parse("127.0.0.1:80"), new HostPort("127.0.0.1", 80));
    for (String bad :
        List.of("localhost:80", "127.0.0.1", "127.0.0.1:99999", ":80", "127.0.0.1:x")) {
      assertThrows(HostPortException.class, () -> HostPort.parse(bad));
    }
  }
}
