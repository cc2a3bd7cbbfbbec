package bitternpulley.platform;

import bitternpulley.config.EndpointList;
import bitternpulley.net.EventLoop;
import bitternpulley.routing.Router;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Pre-warms connections: opens one to each listed server at a steady pace, so that a first query
 * need not open one to every server of a large fleet at once. It keeps the servers of the list that
 * are still to be connected, each once.
 */
public final class ConnectionPrewarmer {
  /** Ms between turns, so that restarted instances do not connect to a server all at once. */
  private static final double TURN_INTERVAL_MS = 10;

  /**
   * Within which time all connections are opened, in ms, with several in a turn where servers are
   * many: well before the first of them is closed as idle.
   */
  private static final double MAX_DURATION_MS = 4000;

  /** The start is delayed by up to this time at random, in ms, so that instances spread. */
  private static final double MAX_START_DELAY_MS = 200;

  private final EventLoop loop;
  private final Random random;
  private final Consumer<String> openConnection;
  private final Set<String> waiting = new LinkedHashSet<>();
  private int serversPerTurn = 1;
  private boolean enabled;
  private boolean running;

  /**
   * Creates a pre-warmer that is not enabled.
   *
   * @param loop runs all of it
   * @param seed of its random choices
   * @param openConnection opens a connection to a server that has none
   */
  public ConnectionPrewarmer(EventLoop loop, long seed, Consumer<String> openConnection) {
    this.loop = loop;
    this.random = new Random(seed);
    this.openConnection = openConnection;
  }

  /** Enables it: from now on connections are opened. */
  public void enable() {
    enabled = true;
    run();
  }

  /** Adds the live servers of an endpoint list, and removes those that accept no new parts. */
  public void onEndpointList(EndpointList list) {
    List<String> liveServers = new ArrayList<>();
    for (EndpointList.Entry entry : list.entries()) {
      if (entry.endpoint().state() == Router.ServerState.LIVE) {
        liveServers.add(entry.endpoint().server());
      } else {
        waiting.remove(entry.endpoint().server());
      }
    }
    Collections.shuffle(liveServers, random);
    waiting.addAll(liveServers);
    int neededPerTurn = (int) Math.ceil(waiting.size() * TURN_INTERVAL_MS / MAX_DURATION_MS);
    serversPerTurn = Math.max(serversPerTurn, neededPerTurn);
    run();
  }

  private void run() {
    if (enabled && !running && !waiting.isEmpty()) {
      running = true;
      loop.schedule(MAX_START_DELAY_MS * random.nextDouble(), this::runTurn);
    }
  }

  private void runTurn() {
    if (waiting.isEmpty()) {
      running = false;
      serversPerTurn = 1;
      return;
    }
    for (int opened = 0; opened < serversPerTurn && !waiting.isEmpty(); opened++) {
      String server = waiting.iterator().next();
      waiting.remove(server);
      openConnection.accept(server);
    }
    loop.schedule(TURN_INTERVAL_MS, this::runTurn);
  }
}
