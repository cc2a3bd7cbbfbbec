package bitternpulley.aggregator;

import bitternpulley.net.EventLoop;
import bitternpulley.net.HostPort;
import bitternpulley.net.HttpServer;
import bitternpulley.net.InheritedListener;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;

/** The HTTP servers for clients: the platform's front and, where configured, the OpenSearch one. */
final class Fronts {
  private final EventLoop loop;
  private final HttpServer queryFront;
  private final HostPort queryAddress;
  private final Optional<SearchService> search;

  Fronts(
      EventLoop loop,
      HttpServer queryFront,
      HostPort queryAddress,
      Optional<SearchService> search) {
    this.loop = loop;
    this.queryFront = queryFront;
    this.queryAddress = queryAddress;
    this.search = search;
  }

  /**
   * Listens on all addresses. The platform takes a listening query front as the sign that the
   * process is up, so that one comes last.
   */
  void listen() {
    search.ifPresent(service -> ListenerStart.open(service.front()::listen, service.address()));
    ListenerStart.open(queryFront::listen, queryAddress);
  }

  /** Listens on the inherited socket, at the same time as the process that is being replaced. */
  void listenOnPassedSocket() {
    search.ifPresent(
        service ->
            ListenerStart.open(
                address -> service.front().listen(address, true), service.address()));
    ListenerStart.open(
        address -> queryFront.listen(InheritedListener.inherited(loop)), queryAddress);
  }

  /** Leaves new connections in the kernel's backlog. */
  void holdBackConnections() {
    each(HttpServer::holdBackConnections);
  }

  /** Accepts the connections in the backlog, and all later ones. */
  void acceptConnections() {
    each(HttpServer::acceptConnections);
  }

  /** From now on each response closes its connection. */
  void drain() {
    each(HttpServer::drain);
  }

  /** While quiesced, responses close their connections, and idle ones are closed. */
  void setQuiesced(boolean quiesced) {
    each(front -> front.quiesce(quiesced));
  }

  /** Leaves new connections on the inherited socket to the process that takes over. */
  void leavePassedSocket() {
    queryFront.stopAccepting();
  }

  /** Accepts the connections in the backlog and then no more, and closes idle ones. */
  void stopListening() {
    each(HttpServer::stopListening);
  }

  /** Whether every request has its response, written in full. */
  boolean allAnswered() {
    return all(front -> front.countPendingResponses() == 0);
  }

  /** Whether nothing is owed on any connection, not even a client's close. */
  boolean allIdle() {
    return all(front -> front.countPendingWork() == 0);
  }

  private boolean all(Predicate<HttpServer> condition) {
    return condition.test(queryFront)
        && search.stream().allMatch(service -> condition.test(service.front()));
  }

  private void each(Consumer<HttpServer> action) {
    action.accept(queryFront);
    search.ifPresent(service -> action.accept(service.front()));
  }
}
