package bitternpulley.trace;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * The simulated slot servers of a trace. Each server queues its parts on two cores and fails
 * according to its configured behaviour.
 */
final class TraceServers {
  private static final int CORES = 2;
  private static final double QUEUE_LIMIT_MS = 900;

  /** How a server handles the parts that it receives. */
  enum Behaviour {
    HEALTHY,
    RETURNS_ERRORS,
    QUEUE_FULL,
    UNRESPONSIVE,
    RESETS_CONNECTIONS,
    REFUSES_CONNECTIONS,
    SLOW
  }

  /** How and after how many ms an attempt ends. */
  record End(String outcome, double afterMs) {}

  private static final class Server {
    private final double[] coreFreeAt = new double[CORES];
    private Behaviour behaviour = Behaviour.HEALTHY;
    private double startedAt = -1e9;
    private String state = "LIVE";
  }

  private final List<Server> servers = new ArrayList<>();
  private final Random random;

  TraceServers(int count, Random random) {
    this.random = random;
    for (int i = 0; i < count; i++) {
      servers.add(new Server());
    }
  }

  int size() {
    return servers.size();
  }

  void setBehaviour(int server, Behaviour behaviour) {
    servers.get(server).behaviour = behaviour;
  }

  String state(int server) {
    return servers.get(server).state;
  }

  void setState(int server, String state) {
    servers.get(server).state = state;
  }

  double startedAt(int server) {
    return Math.max(0, servers.get(server).startedAt);
  }

  void restart(int server, double now) {
    servers.get(server).startedAt = now;
    servers.get(server).behaviour = Behaviour.HEALTHY;
    servers.get(server).state = "LIVE";
  }

  /** Returns the end of an attempt that arrives at the server at time {@code now}. */
  End receivePart(int serverIndex, double workMs, double now) {
    Server server = servers.get(serverIndex);
    double networkDelay = 0.5 + random.nextDouble();
    if (server.state.equals("GONE")) {
      return new End("UNREACHABLE", networkDelay);
    }
    return switch (server.behaviour) {
      case HEALTHY -> processPart(server, workMs, now, networkDelay);
      case SLOW -> processPart(server, workMs * 5, now, networkDelay);
      case RETURNS_ERRORS ->
          random.nextInt(3) == 0
              ? processPart(server, workMs, now, networkDelay)
              : new End("ERROR", networkDelay);
      case QUEUE_FULL ->
          random.nextInt(4) == 0
              ? processPart(server, workMs, now, networkDelay)
              : new End("REJECTED", networkDelay);
      case UNRESPONSIVE -> new End("NEVER", 0);
      case RESETS_CONNECTIONS ->
          random.nextInt(2) == 0
              ? processPart(server, workMs, now, networkDelay)
              : new End("RESET", 20 * networkDelay);
      case REFUSES_CONNECTIONS -> new End("UNREACHABLE", networkDelay);
    };
  }

  private End processPart(Server server, double workMs, double now, double networkDelay) {
    int core = server.coreFreeAt[0] <= server.coreFreeAt[1] ? 0 : 1;
    double beginAt = Math.max(now, server.coreFreeAt[core]);
    if (beginAt - now > QUEUE_LIMIT_MS) {
      return new End("REJECTED", networkDelay);
    }
    double warmupFraction = Math.min(1, 0.25 + 0.75 * (now - server.startedAt) / 9000);
    server.coreFreeAt[core] = beginAt + workMs * (0.7 + 0.6 * random.nextDouble()) / warmupFraction;
    return new End("OK", server.coreFreeAt[core] - now + networkDelay);
  }
}
