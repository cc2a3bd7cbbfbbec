package bitternpulley.aggregator;

import bitternpulley.net.EventLoop;
import bitternpulley.net.HostPort;
import bitternpulley.net.HttpServer;
import bitternpulley.net.InheritedListener;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** The HTTP servers for clients: one for queries and, if configured, one for the search API. */
final class ClientHttpServers {
  private final EventLoop loop;
  private final HttpServer queryServer;
  private final HostPort queryAddress;
  private final Optional<SearchService> search;

  ClientHttpServers(
      EventLoop loop,
      HttpServer queryServer,
      HostPort queryAddress,
      Optional<SearchService> search) {
    this.loop = loop;
    this.queryServer = queryServer;
    this.queryAddress = queryAddress;
    this.search = search;
  }

  /**
   * Starts to listen on all addresses. The query server comes last, because the platform considers
   * the process up as soon as that server listens.
   */
  void listen() {
    search.ifPresent(
        service -> RequiredListener.open(service.httpServer()::listen, service.address()));
    RequiredListener.open(queryServer::listen, queryAddress);
  }

  /** Listens on the inherited socket together with the process that is being replaced. */
  void listenOnInheritedSocket() {
    search.ifPresent(
        service ->
            RequiredListener.open(
                address -> service.httpServer().listen(address, true), service.address()));
    RequiredListener.open(
        address -> queryServer.listen(InheritedListener.inherited(loop)), queryAddress);
  }

  /** Leaves new connections in the kernel's backlog. */
  void holdBackConnections() {
    forEach(HttpServer::holdBackConnections);
  }

  /** Accepts the connections in the backlog and all later ones. */
  void acceptConnections() {
    forEach(HttpServer::acceptConnections);
  }

  /** Closes each connection after its next response from now on. */
  void drain() {
    forEach(HttpServer::drain);
  }

  /** While quiesced, closes idle connections, and each other connection after its response. */
  void setQuiesced(boolean quiesced) {
    forEach(server -> server.setQuiesced(quiesced));
  }

  /** Leaves new connections on the inherited socket to the process that replaces this one. */
  void stopAcceptingOnInheritedSocket() {
    queryServer.stopAccepting();
  }

  /** Accepts the connections in the backlog, then no more, and closes idle connections. */
  void stopListening() {
    forEach(HttpServer::stopListening);
  }

  /** Whether the response to every request has been written completely. */
  boolean allAnswered() {
    return allMatch(server -> server.countPendingResponses() == 0);
  }

  /** Whether no connection has work left; waiting for a client to close counts as work. */
  boolean allIdle() {
    return allMatch(server -> server.countPendingWork() == 0);
  }

  private boolean allMatch(Predicate<HttpServer> condition) {
    return condition.test(queryServer)
        && search.stream().allMatch(service -> condition.test(service.httpServer()));
  }

  private void forEach(Consumer<HttpServer> action) {
    action.accept(queryServer);
    search.ifPresent(service -> action.accept(service.httpServer()));
  }
}
