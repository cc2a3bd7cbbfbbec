package bitternpulley.net;

import java.nio.ByteBuffer;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** Collects the body of each message; the parser's limit on bodies bounds the buffer. */
final class HttpMessageAggregator implements HttpParser.Sink {
  private final ByteAccumulator body = new ByteAccumulator();
  private final Consumer<HttpHead> onHead;
  private final BiConsumer<HttpHead, byte[]> onMessage;
  private HttpHead head;

  /** The heap that {@link #head} occupies, in bytes; 0 while it has not been determined. */
  private int headHeapBytes;

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
    body.append(piece);
  }

  @Override
  public void end() {
    HttpHead completeHead = head;
    byte[] bytes = body.toByteArray();
    discard();
    onMessage.accept(completeHead, bytes);
  }

  /** Returns the heap that the head and body of an incomplete message occupy, in bytes. */
  int heldBytes() {
    if (head != null && headHeapBytes == 0) {
      headHeapBytes = head.estimateHeapBytes();
    }
    return headHeapBytes + body.capacity();
  }

  /** Drops an incomplete message. */
  void discard() {
    head = null;
    headHeapBytes = 0;
    body.clear();
  }
}
