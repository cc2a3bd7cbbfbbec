package bitternpulley.net;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** Puts the pieces of each message together; the parser's bound on bodies bounds what is kept. */
final class HttpMessageAggregator implements HttpParser.Sink {
  private ByteArrayOutputStream body = new ByteArrayOutputStream(0);
  private final Consumer<HttpHead> onHead;
  private final BiConsumer<HttpHead, byte[]> onMessage;
  private HttpHead head;

  HttpMessageAggregator(Consumer<HttpHead> begun, BiConsumer<HttpHead, byte[]> whole) {
    this.onHead = begun;
    this.onMessage = whole;
  }

  @Override
  public void head(HttpHead head) {
    this.head = head;
    onHead.accept(head);
  }

  @Override
  public void body(ByteBuffer piece) {
    byte[] bytes = new byte[piece.remaining()];
    piece.get(bytes);
    body.writeBytes(bytes);
  }

  @Override
  public void end() {
    byte[] bytes = body.toByteArray();
    body = new ByteArrayOutputStream(0);
    onMessage.accept(head, bytes);
  }

  /** Bytes kept of a body that is not yet whole. */
  int bufferedBytes() {
    return body.size();
  }
}
