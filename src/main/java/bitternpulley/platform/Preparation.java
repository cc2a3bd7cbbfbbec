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
 * Opens a connection to each listed server while there is time, one after the other. Guards against
 * a first query that has to open one to every server of a large fleet at once: on a part of a core
 * that takes longer than the servers' work does. Bounded by the list: a server stands here once,
 * and leaves when its connection was asked for or it takes no new work.
 */
public final class Preparation {
  /**
   * Ms between turns; each opens one connection, so that no server meets a restarted fleet all at
   * once.
   */
  private static final double PACE = 10;

  /**
   * Ms within which all are opened, with more than one in a turn where servers are many: well below
   * the time after which those opened first are closed as idle.
   */
  private static final double WITHIN = 4000;

  /**
   * Ms over which chance spreads the beginning, so that aggregators told at the same time don't act
   * in step.
   */
  private static final double SPREAD = 200;

  private final EventLoop loop;
  private final Random random;
  private final Consumer<String> open;
  private final Set<String> waiting = new LinkedHashSet<>();
  private int inTurn = 1;
  private boolean begun;
  private boolean running;

  /** {@code open} opens a connection where there is none. */
  public Preparation(EventLoop loop, long seed, Consumer<String> open) {
    this.loop = loop;
    this.random = new Random(seed);
    this.open = open;
  }

  /** From now on connections are opened. */
  public void begin() {
    begun = true;
    run();
  }

  /** Takes in what a list says: servers that take work are to be reached, the others no more. */
  public void told(EndpointList list) {
    List<String> fresh = new ArrayList<>();
    for (EndpointList.Entry e : list.entries()) {
      if (e.endpoint().state() == Router.ServerState.LIVE) {
        fresh.add(e.endpoint().server());
      } else {
        waiting.remove(e.endpoint().server());
      }
    }
    Collections.shuffle(fresh, random);
    waiting.addAll(fresh);
    inTurn = Math.max(inTurn, (int) Math.ceil(waiting.size() * PACE / WITHIN));
    run();
  }

  private void run() {
    if (begun && !running && !waiting.isEmpty()) {
      running = true;
      loop.after(SPREAD * random.nextDouble(), this::next);
    }
  }

  private void next() {
    if (waiting.isEmpty()) {
      running = false;
      inTurn = 1;
      return;
    }
    for (int i = 0; i < inTurn && !waiting.isEmpty(); i++) {
      String server = waiting.iterator().next();
      waiting.remove(server);
      open.accept(server);
    }
    loop.after(PACE, this::next);
  }
}
