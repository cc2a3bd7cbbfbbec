package bitternpulley.trace;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Slot servers of a trace: each queues its parts on two cores, and fails in the way that it is set
 * to.
 */
final class TraceServers {
  private static final int CORES = 2;
  private static final double QUEUE_LIMIT_MS = 900;

  /** How a server treats the parts that it is sent. */
  enum Behaviour {
    SOUND,
    ERRORS,
    FULL,
    HANGS,
    RESETS,
    REFUSES,
    SLOW
  }

  /** How and after how many ms an attempt ends. */
  record End(String outcome, double afterMs) {}

  private static final class Server {
    private final double[] freeAt = new double[CORES];
    private Behaviour behaviour = Behaviour.SOUND;
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

  void behave(int server, Behaviour behaviour) {
    servers.get(server).behaviour = behaviour;
  }

  String state(int server) {
    return servers.get(server).state;
  }

  void state(int server, String state) {
    servers.get(server).state = state;
  }

  double startedAt(int server) {
    return Math.max(0, servers.get(server).startedAt);
  }

  void restart(int server, double now) {
    servers.get(server).startedAt = now;
    servers.get(server).behaviour = Behaviour.SOUND;
    servers.get(server).state = "LIVE";
  }

  /** The end of an attempt that comes in at a time. */
  End take(int number, double workMs, double now) {
    Server server = servers.get(number);
    double travel = 0.5 + random.nextDouble();
    if (server.state.equals("GONE")) {
      return new End("UNREACHABLE", travel);
    }
    return switch (server.behaviour) {
      case SOUND -> work(server, workMs, now, travel);
      case SLOW -> work(server, workMs * 5, now, travel);
      case ERRORS ->
          random.nextInt(3) == 0 ? work(server, workMs, now, travel) : new End("ERROR", travel);
      case FULL ->
          random.nextInt(4) == 0 ? work(server, workMs, now, travel) : new End("REJECTED", travel);
      case HANGS -> new End("NEVER", 0);
      case RESETS ->
          random.nextInt(2) == 0
              ? work(server, workMs, now, travel)
              : new End("RESET", 20 * travel);
      case REFUSES -> new End("UNREACHABLE", travel);
    };
  }

  private End work(Server server, double workMs, double now, double travel) {
    int core = server.freeAt[0] <= server.freeAt[1] ? 0 : 1;
    double begin = Math.max(now, server.freeAt[core]);
    if (begin - now > QUEUE_LIMIT_MS) {
      return new End("REJECTED", travel);
    }
    double warm = Math.min(1, 0.25 + 0.75 * (now - server.startedAt) / 9000);
    server.freeAt[core] = begin + workMs * (0.7 + 0.6 * random.nextDouble()) / warm;
    return new End("OK", server.freeAt[core] - now + travel);
  }
}
