package bitternpulley.broker;

import bitternpulley.routing.Router;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/** The servers of the endpoint list as last reported by discovery, and the operator overrides. */
final class ServerDirectory {
  private final Map<String, Router.Endpoint> listed = new HashMap<>();
  private OperatorOverrides overrides = OperatorOverrides.NONE;

  /**
   * Applies an endpoint list from discovery, or a change to it, and returns its endpoints with the
   * overrides applied.
   */
  List<Router.Endpoint> update(Router.EndpointListKind kind, List<Router.Endpoint> endpoints) {
    if (kind != Router.EndpointListKind.CHANGES) {
      listed.clear();
    }
    for (Router.Endpoint endpoint : endpoints) {
      if (endpoint.state() == Router.ServerState.GONE) {
        listed.remove(endpoint.server());
      } else {
        listed.put(endpoint.server(), endpoint);
      }
    }
    return endpoints.stream().map(this::withOverrides).toList();
  }

  /** A cordoned server counts as draining while discovery reports it as live. */
  private Router.Endpoint withOverrides(Router.Endpoint endpoint) {
    return endpoint.state() == Router.ServerState.LIVE
            && overrides.cordoned().contains(endpoint.server())
        ? new Router.Endpoint(
            endpoint.server(),
            endpoint.zone(),
            endpoint.cell(),
            Router.ServerState.DRAINING,
            endpoint.startedAt())
        : endpoint;
  }

  /** Whether new work may go to a server: it is listed, not draining and not cordoned. */
  boolean acceptsNewWork(String server) {
    Router.Endpoint endpoint = listed.get(server);
    return endpoint != null && withOverrides(endpoint).state() == Router.ServerState.LIVE;
  }

  /**
   * Whether a server is listed or cordoned; a cordon stays in force when the server leaves the
   * list.
   */
  boolean isKnown(String server) {
    return listed.containsKey(server) || overrides.cordoned().contains(server);
  }

  /** Replaces the overrides and returns the resulting changes. */
  OverridesChange applyOverrides(OperatorOverrides replacement) {
    OperatorOverrides before = overrides;
    overrides = replacement;
    return new OverridesChange(
        newlyCordoned(before), readmitted(before), replacement.quiesced() != before.quiesced());
  }

  private List<Router.Endpoint> newlyCordoned(OperatorOverrides before) {
    return listed.values().stream()
        .filter(
            endpoint ->
                overrides.cordoned().contains(endpoint.server())
                    && !before.cordoned().contains(endpoint.server()))
        .map(this::withOverrides)
        .toList();
  }

  private List<Router.Endpoint> readmitted(OperatorOverrides before) {
    return before.cordoned().stream()
        .filter(server -> !overrides.cordoned().contains(server))
        .map(listed::get)
        .filter(Objects::nonNull)
        .toList();
  }
}
