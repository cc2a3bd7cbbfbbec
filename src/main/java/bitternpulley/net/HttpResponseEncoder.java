package bitternpulley.net;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Encodes HTTP/1.1 responses. */
final class HttpResponseEncoder {
  /** Longer bodies are written from where they are, not copied behind the head. */
  private static final int MAX_COPIED_BODY_BYTES = 16 * 1024;

  private HttpResponseEncoder() {}

  /**
   * Returns the bytes of a response, with {@code Connection: close} unless {@code keepAlive}, as
   * buffers to be written one after the other.
   */
  static List<ByteBuffer> encode(HttpServer.Response response, boolean keepAlive) {
    ByteBuffer head = ascii(head(response, keepAlive));
    ByteBuffer body = ByteBuffer.wrap(response.body());
    if (body.remaining() > MAX_COPIED_BODY_BYTES) {
      return List.of(head, body);
    }
    return List.of(
        ByteBuffer.allocate(head.remaining() + body.remaining()).put(head).put(body).flip());
  }

  private static String head(HttpServer.Response response, boolean keepAlive) {
    StringBuilder text =
        new StringBuilder("HTTP/1.1 ")
            .append(response.status())
            .append(' ')
            .append(reasonPhrase(response.status()));
    response
        .headers()
        .forEach((name, value) -> text.append("\r\n").append(name).append(": ").append(value));
    text.append("\r\nContent-Length: ").append(response.body().length);
    return text.append(keepAlive ? "\r\n\r\n" : "\r\nConnection: close\r\n\r\n").toString();
  }

  /** Returns the interim response to a client that sends {@code Expect: 100-continue}. */
  static ByteBuffer encodeContinue() {
    return ascii("HTTP/1.1 100 Continue\r\n\r\n");
  }

  private static ByteBuffer ascii(String text) {
    return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static String reasonPhrase(int status) {
    return switch (status) {
      case 200 -> "OK";
      case 400 -> "Bad Request";
      case 404 -> "Not Found";
      case 405 -> "Method Not Allowed";
      case 408 -> "Request Timeout";
      case 409 -> "Conflict";
      case 413 -> "Content Too Large";
      case 429 -> "Too Many Requests";
      case 431 -> "Request Header Fields Too Large";
      case 500 -> "Internal Server Error";
      case 503 -> "Service Unavailable";
      case 504 -> "Gateway Timeout";
      default -> "Status";
    };
  }
}
