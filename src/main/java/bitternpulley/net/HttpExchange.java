package bitternpulley.net;

/** One request of a session, until its response is given. */
final class HttpExchange implements HttpServer.Exchange {
  private final HttpSession session;
  private final boolean keepAlive;
  private Runnable onDisconnect;
  private boolean replied;

  HttpExchange(HttpSession session, boolean keepAlive) {
    this.session = session;
    this.keepAlive = keepAlive;
  }

  @Override
  public void reply(HttpServer.Response response) {
    if (!replied) {
      replied = true;
      session.send(response, keepAlive);
    }
  }

  @Override
  public void onDisconnect(Runnable callback) {
    onDisconnect = callback;
  }

  /** Notifies the handler that the client disconnected, unless the response is already given. */
  void clientDisconnected() {
    if (!replied && onDisconnect != null) {
      onDisconnect.run();
    }
  }
}
