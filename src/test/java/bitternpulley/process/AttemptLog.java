package bitternpulley.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * What reached the stand-in slot servers, in either dialect, and the one set of rule checks over
 * it.
 */
final class AttemptLog {
  /**
   * One attempt as its server saw it; {@code ended} by its answer, a cancel or the end of its
   * connection.
   */
  static final class Attempt {
    final String dialect;
    final String part;
    final String key;
    final int section;
    final StandIn server;
    final long at = System.nanoTime();
    private long ended;

    Attempt(String dialect, String part, String key, int section, StandIn server) {
      this.dialect = dialect;
      this.part = part;
      this.key = key;
      this.section = section;
      this.server = server;
    }

    boolean over() {
      return ended != 0;
    }
  }

  private static final int MOST_ATTEMPTS = 4;
  private static final long WINDOW_MS = 5050;
  private static final long DRAIN_MS = 250;
  private static final long CROSSING_MS = 10_000;
  private final List<Attempt> attempts = new ArrayList<>();
  private final List<String> broken = new ArrayList<>();

  /**
   * Notes an attempt. Two servers' threads may read a cancel and the next attempt in either order,
   * so it waits.
   */
  synchronized Attempt begin(Attempt a) {
    long end = System.currentTimeMillis() + CROSSING_MS;
    while (attempts.stream().anyMatch(o -> o.part.equals(a.part) && !o.over())) {
      long left = end - System.currentTimeMillis();
      if (left <= 0) {
        broken.add("two attempts out at once: " + a.part);
        break;
      }
      try {
        wait(left);
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
    if (a.server.drainingSince != 0 && a.at - a.server.drainingSince > DRAIN_MS * 1_000_000) {
      broken.add(a.part + " sent to a draining server");
    }
    attempts.add(a);
    notifyAll();
    return a;
  }

  synchronized void end(Attempt a) {
    a.ended = a.ended == 0 ? System.nanoTime() : a.ended;
    notifyAll();
  }

  synchronized List<Attempt> all() {
    return List.copyOf(attempts);
  }

  List<Attempt> of(String dialect) {
    return all().stream().filter(a -> a.dialect.equals(dialect)).toList();
  }

  /** The rules that a slot server can see, the same for both dialects. */
  static void check(List<Attempt> of, List<String> broken) {
    Map<String, List<Attempt>> parts = of.stream().collect(Collectors.groupingBy(a -> a.part));
    parts.forEach(
        (part, tries) -> {
          assertTrue(tries.size() <= MOST_ATTEMPTS, part + " was tried " + tries.size() + " times");
          assertEquals(
              tries.stream().map(a -> String.valueOf(a.key)).distinct().count(),
              1,
              part + " changes its key");
          long span = tries.get(tries.size() - 1).at - tries.get(0).at;
          assertTrue(
              tries.get(0).key == null || span <= WINDOW_MS * 1_000_000, part + " left its window");
          tries.forEach(
              a -> assertTrue(a.server.holds(a.section), part + " went to " + a.server.id));
        });
    assertEquals(broken, List.of());
  }

  void check(String dialect) {
    List<String> seen;
    synchronized (this) {
      seen = List.copyOf(broken);
    }
    check(of(dialect), seen);
  }
}
