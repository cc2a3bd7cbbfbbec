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
 * Pre-warms connections: opens one to each listed server at a steady rate, so that the first query
 * need not connect to every server of a large fleet at once. A server that several endpoint lists
 * contain before its connection is opened is queued only once.
 */
public final class ConnectionPrewarmer {
  /**
   * Interval between batches, in ms. Keeps restarted instances from all connecting to a server at
   * the same time.
   */
  private static final double BATCH_INTERVAL_MS = 10;

  /**
   * Time within which connections to all servers are opened, in ms; with many servers, a batch
   * opens several. Well below the time after which the first connection would be closed as idle.
   */
  private static final double MAX_DURATION_MS = 4000;

  /** Maximum random delay of the start, in ms, so that instances do not start simultaneously. */
  private static final double MAX_START_DELAY_MS = 200;

  private final EventLoop loop;
  private final Random random;
  private final Consumer<String> openConnection;
  private final Set<String> unconnectedServers = new LinkedHashSet<>();
  private int batchSize = 1;
  private boolean enabled;
  private boolean running;

  /**
   * Creates a pre-warmer that is not enabled.
   *
   * @param loop the event loop to run on
   * @param seed the seed of the random choices
   * @param openConnection opens a connection to a server that has none
   */
  public ConnectionPrewarmer(EventLoop loop, long seed, Consumer<String> openConnection) {
    this.loop = loop;
    this.random = new Random(seed);
    this.openConnection = openConnection;
  }

  /** Starts opening connections. */
  public void enable() {
    enabled = true;
    startIfNeeded();
  }

  /** Adds the live servers of an endpoint list, and removes servers that accept no new parts. */
  public void onEndpointList(EndpointList list) {
    List<String> liveServers = new ArrayList<>();
    for (EndpointList.Entry entry : list.entries()) {
      if (entry.endpoint().state() == Router.ServerState.LIVE) {
        liveServers.add(entry.endpoint().server());
      } else {
        unconnectedServers.remove(entry.endpoint().server());
      }
    }
    Collections.shuffle(liveServers, random);
    unconnectedServers.addAll(liveServers);
    int neededBatchSize =
        (int) Math.ceil(unconnectedServers.size() * BATCH_INTERVAL_MS / MAX_DURATION_MS);
    batchSize = Math.max(batchSize, neededBatchSize);
    startIfNeeded();
  }

  private void startIfNeeded() {
    if (enabled && !running && !unconnectedServers.isEmpty()) {
      running = true;
      loop.schedule(MAX_START_DELAY_MS * random.nextDouble(), this::openBatch);
    }
  }

  private void openBatch() {
    if (unconnectedServers.isEmpty()) {
      running = false;
      batchSize = 1;
      return;
    }
    for (int opened = 0; opened < batchSize && !unconnectedServers.isEmpty(); opened++) {
      String server = unconnectedServers.iterator().next();
      unconnectedServers.remove(server);
      openConnection.accept(server);
    }
    loop.schedule(BATCH_INTERVAL_MS, this::openBatch);
  }
}
