package bitternpulley.broker;

import bitternpulley.routing.Router;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Endpoint lists for tests: server {@code sN} holds cell N, and servers alternate between two
 * zones.
 */
final class TestServers {
  private TestServers() {}

  static Router.Endpoint server(int cell, Router.ServerState state, double startedAt) {
    return new Router.Endpoint("s" + cell, cell % 2, cell, state, startedAt);
  }

  /** A list of {@code count} live servers that started long ago. */
  static Event.ServersChanged live(int count) {
    return new Event.ServersChanged(
        Router.EndpointListKind.PERSISTED,
        IntStream.range(0, count)
            .mapToObj(cell -> server(cell, Router.ServerState.LIVE, 0))
            .toList());
  }

  /** A change to the endpoint list that contains these servers. */
  static Event.ServersChanged change(Router.Endpoint... endpoints) {
    return new Event.ServersChanged(Router.EndpointListKind.CHANGES, List.of(endpoints));
  }
}
