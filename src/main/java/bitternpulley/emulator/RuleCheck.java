package bitternpulley.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The rules that servers can see, over all of them: at most four attempts a part and never two at
 * once, keyed parts again only within their window, parts only to holders, nothing new to a server
 * that drains, no more work to a cold one than it bears. Parts are forgotten once they are old.
 */
public final class RuleCheck {
  private static final int MOST_ATTEMPTS = 4;

  /** Ms: the rules' figures and what a busy machine may add to them. */
  private static final double KEYED_WINDOW = 5000 + 50;

  private static final double DRAIN = 250 + 50;

  /**
   * Ms that the word on a given-up part may be behind the part's next attempt, which goes over
   * another connection.
   */
  private static final double CROSSING = 100;

  private static final double FORGET = 15_000;
  private static final int MOST_BREACHES = 20;

  /**
   * What the stand-ins' settings say of cold servers: share of capacity at first, ms until warm,
   * window and multiple.
   */
  static final double COLD_FROM = 0.2;

  static final double COLD_TIME = 17_000;
  static final double FALL = 1000;
  static final double TIP = 2;

  /**
   * What a cold server is sent: the window it falls in, and the most of what it bears that any
   * window held.
   */
  private static final class Cold {
    final int cores;
    final double since;
    final ArrayDeque<double[]> window = new ArrayDeque<>();
    double sum;
    double mostShare;
    double total;

    Cold(int cores, double since) {
      this.cores = cores;
      this.since = since;
    }
  }

  private static final class Part {
    int attempts;
    int out;
    double first;
    double endedAt;
    double overlapSince = Double.NaN;
  }

  private final Map<String, Cold> cold = new HashMap<>();
  private final Map<String, Part> parts = new HashMap<>();
  private final List<String> breaches = new ArrayList<>();
  private int broken;
  private double sweptAt;

  /** An attempt has come in whole; {@code drains} is since when its server drains, or NaN. */
  public synchronized void begin(
      String part, boolean keyed, boolean holds, double drains, double now) {
    sweep(now);
    Part p = parts.computeIfAbsent(part, x -> new Part());
    p.first = p.attempts == 0 ? now : p.first;
    if (++p.attempts > MOST_ATTEMPTS) {
      breach(part + " was tried " + p.attempts + " times");
    }
    if (++p.out > 1) {
      p.overlapSince = now;
    }
    if (keyed && p.attempts > 1 && now > p.first + KEYED_WINDOW) {
      breach(part + " was sent again after its window");
    }
    if (!holds) {
      breach(part + " went to a server that does not hold its section");
    }
    if (now > drains + DRAIN) {
      breach(part + " went to a server that drains");
    }
  }

  /** An attempt has ended: answered, given up, or its connection closed. */
  public synchronized void end(String part, double now) {
    Part p = parts.get(part);
    if (p == null) {
      return;
    }
    p.out--;
    p.endedAt = now;
    if (!Double.isNaN(p.overlapSince) && p.out <= 1) {
      if (now > p.overlapSince + CROSSING) {
        breach(part + " was out twice for " + Math.round(now - p.overlapSince) + " ms");
      }
      p.overlapSince = Double.NaN;
    }
  }

  /** A server of so many cores has started just now. */
  synchronized void cold(String server, int cores, double now) {
    cold.put(server, new Cold(cores, now));
  }

  /** A part of so many ms of work has come to a server. */
  synchronized void work(String server, double work, double now) {
    Cold c = cold.get(server);
    if (c == null || now > c.since + COLD_TIME) {
      return;
    }
    c.window.add(new double[] {now, work});
    c.sum += work;
    c.total += work;
    while (c.window.peek()[0] < now - FALL) {
      c.sum -= c.window.poll()[1];
    }
    double share =
        c.sum
            / (TIP * c.cores * (COLD_FROM + (1 - COLD_FROM) * (now - c.since) / COLD_TIME) * FALL);
    if (share > 1 && c.mostShare <= 1) {
      breach(
          server
              + " was sent "
              + Math.round(c.sum)
              + " ms of work within a window while cold, "
              + share
              + " of what it bears");
    }
    c.mostShare = Math.max(c.mostShare, share);
  }

  /**
   * The most of what it bears that a server was sent within a window since it started last, while
   * cold; 0 where it was never.
   */
  public synchronized double coldShare(String server) {
    return cold.containsKey(server) ? cold.get(server).mostShare : 0;
  }

  /** Ms of work that a server was sent while cold since it started last. */
  public synchronized double coldWork(String server) {
    return cold.containsKey(server) ? cold.get(server).total : 0;
  }

  private void breach(String what) {
    broken++;
    if (breaches.size() < MOST_BREACHES) {
      breaches.add(what);
    }
  }

  private void sweep(double now) {
    if (now > sweptAt + FORGET) {
      sweptAt = now;
      parts.values().removeIf(p -> p.out == 0 && now > p.endedAt + FORGET);
    }
  }

  /** How many rules were broken, and the first of them in words. */
  public synchronized int broken() {
    return broken;
  }

  public synchronized List<String> breaches() {
    return List.copyOf(breaches);
  }
}
