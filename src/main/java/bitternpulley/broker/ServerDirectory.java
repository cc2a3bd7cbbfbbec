package bitternpulley.broker;

import bitternpulley.routing.Router;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What discovery last said of each server that is there, with the operators' orders laid over it.
 */
final class ServerDirectory {
  private final Map<String, Router.Endpoint> listed = new HashMap<>();
  private OperatorOverrides standing = OperatorOverrides.NONE;

  /** Takes in a list or a change and returns its members as the module is to hear of them. */
  List<Router.Endpoint> told(Event.ServersChanged e) {
    if (e.kind() != Router.ListKind.CHANGES) {
      listed.clear();
    }
    for (Router.Endpoint m : e.endpoints()) {
      if (m.state() == Router.ServerState.GONE) {
        listed.remove(m.server());
      } else {
        listed.put(m.server(), m);
      }
    }
    return e.endpoints().stream().map(this::asOrdered).toList();
  }

  /**
   * A cordoned server drains, whatever discovery says of it meanwhile, so that the module's own
   * rule on that holds.
   */
  private Router.Endpoint asOrdered(Router.Endpoint m) {
    return m.state() == Router.ServerState.LIVE && standing.cordoned().contains(m.server())
        ? new Router.Endpoint(
            m.server(), m.zone(), m.cell(), Router.ServerState.DRAINING, m.startedAt())
        : m;
  }

  /** Whether new work may go there: it is listed, does not drain and is not cordoned. */
  boolean takesWork(String server) {
    Router.Endpoint m = listed.get(server);
    return m != null && asOrdered(m).state() == Router.ServerState.LIVE;
  }

  /** A cordoned server may have left the list since; letting it back in must work all the same. */
  boolean knows(String server) {
    return listed.containsKey(server) || standing.cordoned().contains(server);
  }

  /**
   * What the operators' orders change: the servers out from now on, those back in, and whether
   * clients are sent away.
   */
  record Change(
      List<Router.Endpoint> out, List<Router.Endpoint> back, boolean quiesces, boolean quiesced) {}

  /** Puts other orders in force. */
  Change stands(OperatorOverrides fresh) {
    OperatorOverrides before = standing;
    standing = fresh;
    List<Router.Endpoint> out =
        listed.values().stream()
            .filter(
                m ->
                    fresh.cordoned().contains(m.server())
                        && !before.cordoned().contains(m.server()))
            .map(this::asOrdered)
            .toList();
    List<Router.Endpoint> back =
        before.cordoned().stream()
            .filter(s -> !fresh.cordoned().contains(s))
            .map(listed::get)
            .filter(m -> m != null)
            .toList();
    return new Change(out, back, fresh.quiesced() != before.quiesced(), fresh.quiesced());
  }
}
