package bitternpulley.aggregator;

import bitternpulley.broker.Broker;
import bitternpulley.broker.Event;
import bitternpulley.config.EndpointList;
import bitternpulley.net.HostPort;
import bitternpulley.platform.ConnectionPrewarmer;
import bitternpulley.platform.SlotServers;
import bitternpulley.routing.Router;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** Passes each endpoint list to the server protocols, the connection pre-warmer and the broker. */
final class EndpointListDistributor {
  private final Broker broker;
  private final ServiceState state;
  private final SlotServers slotServers;
  private final Optional<SearchService> search;
  private final ConnectionPrewarmer connectionPrewarmer;
  private boolean discoveryAnswered;

  EndpointListDistributor(
      Broker broker,
      ServiceState state,
      SlotServers slotServers,
      Optional<SearchService> search,
      ConnectionPrewarmer connectionPrewarmer) {
    this.broker = broker;
    this.state = state;
    this.slotServers = slotServers;
    this.search = search;
    this.connectionPrewarmer = connectionPrewarmer;
  }

  /** Whether discovery has sent a complete list or changes since the start. */
  boolean hasDiscoveryAnswered() {
    return discoveryAnswered;
  }

  /** Distributes the list stored before the start, which discovery has not confirmed yet. */
  void onStoredList(EndpointList list) {
    distribute(list, Router.EndpointListKind.PERSISTED);
  }

  /** Distributes a complete list or changes from discovery. */
  void onDiscoveryList(EndpointList list) {
    discoveryAnswered = true;
    distribute(
        list, list.complete() ? Router.EndpointListKind.COMPLETE : Router.EndpointListKind.CHANGES);
  }

  private void distribute(EndpointList list, Router.EndpointListKind kind) {
    list.entries().stream()
        .filter(entry -> entry.address() != null)
        .forEach(entry -> setAddress(entry.endpoint().server(), entry.address()));
    list.entries().stream()
        .filter(entry -> entry.endpoint().state() == Router.ServerState.GONE)
        .forEach(entry -> removeServer(entry.endpoint().server()));
    connectionPrewarmer.onEndpointList(list);
    if (containsLiveServer(list)) {
      state.recordLiveServer();
    }
    if (kind == Router.EndpointListKind.COMPLETE) {
      removeServersMissingFrom(list);
    }
    broker.submit(
        new Event.ServersChanged(
            kind, list.entries().stream().map(EndpointList.Entry::endpoint).toList()));
  }

  private static boolean containsLiveServer(EndpointList list) {
    return list.entries().stream()
        .anyMatch(entry -> entry.endpoint().state() == Router.ServerState.LIVE);
  }

  private void setAddress(String server, HostPort address) {
    slotServers.setAddress(server, address);
    search.ifPresent(service -> service.searchServers().setAddress(server, address));
  }

  private void removeServer(String server) {
    slotServers.removeServer(server);
    search.ifPresent(service -> service.searchServers().removeServer(server));
  }

  private void removeServersMissingFrom(EndpointList list) {
    Set<String> servers =
        list.entries().stream().map(entry -> entry.endpoint().server()).collect(Collectors.toSet());
    slotServers.retainOnly(servers);
    search.ifPresent(service -> service.searchServers().retainOnly(servers));
  }
}
