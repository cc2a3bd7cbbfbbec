package bitternpulley.net;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** Collects the body of each message; the parser's limit on bodies bounds the buffer. */
final class HttpMessageAggregator implements HttpParser.Sink {
  private ByteArrayOutputStream body = new ByteArrayOutputStream(0);
  private final Consumer<HttpHead> onHead;
  private final BiConsumer<HttpHead, byte[]> onMessage;
  private HttpHead head;

  HttpMessageAggregator(Consumer<HttpHead> onHead, BiConsumer<HttpHead, byte[]> onMessage) {
    this.onHead = onHead;
    this.onMessage = onMessage;
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

  /** Returns the bytes buffered of a body that is not complete yet. */
  int bufferedBytes() {
    return body.size();
  }
}
