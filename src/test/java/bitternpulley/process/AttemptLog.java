package bitternpulley.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Records the attempts that reached the fake slot servers over either protocol, and checks them
 * against the rules that a slot server can observe.
 */
final class AttemptLog {
  /**
   * One attempt as its server saw it. It ends with its answer, a cancellation or the end of its
   * connection.
   */
  static final class Attempt {
    final String protocol;
    final String part;
    final String idempotencyKey;
    final int shard;
    final FakeSlotServer server;
    final long startedAtNanos = System.nanoTime();
    private long endedAtNanos;

    Attempt(String protocol, String part, String idempotencyKey, int shard, FakeSlotServer server) {
      this.protocol = protocol;
      this.part = part;
      this.idempotencyKey = idempotencyKey;
      this.shard = shard;
      this.server = server;
    }

    boolean hasEnded() {
      return endedAtNanos != 0;
    }
  }

  private static final int MAX_ATTEMPTS = 4;
  private static final long DEDUP_WINDOW_MS = 5050;
  private static final long DRAIN_GRACE_MS = 250;
  private static final long PREVIOUS_END_TIMEOUT_MS = 10_000;
  private final List<Attempt> attempts = new ArrayList<>();
  private final List<String> violations = new ArrayList<>();

  /**
   * Records the start of an attempt. The threads of two servers may read a cancellation and the
   * next attempt of the same part in either order, so this waits for the previous attempt to end.
   */
  synchronized Attempt begin(Attempt attempt) {
    long deadline = System.currentTimeMillis() + PREVIOUS_END_TIMEOUT_MS;
    while (attempts.stream()
        .anyMatch(other -> other.part.equals(attempt.part) && !other.hasEnded())) {
      long remaining = deadline - System.currentTimeMillis();
      if (remaining <= 0) {
        violations.add("two concurrent attempts: " + attempt.part);
        break;
      }
      try {
        wait(remaining);
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
    if (attempt.server.drainingSinceNanos != 0
        && attempt.startedAtNanos - attempt.server.drainingSinceNanos
            > DRAIN_GRACE_MS * 1_000_000) {
      violations.add(attempt.part + " sent to a draining server");
    }
    attempts.add(attempt);
    notifyAll();
    return attempt;
  }

  synchronized void end(Attempt attempt) {
    attempt.endedAtNanos = attempt.endedAtNanos == 0 ? System.nanoTime() : attempt.endedAtNanos;
    notifyAll();
  }

  synchronized List<Attempt> all() {
    return List.copyOf(attempts);
  }

  List<Attempt> forProtocol(String protocol) {
    return all().stream().filter(attempt -> attempt.protocol.equals(protocol)).toList();
  }

  /** Checks the rules that a slot server can observe, which are the same for both protocols. */
  static void checkRules(List<Attempt> attempts, List<String> violations) {
    Map<String, List<Attempt>> attemptsByPart =
        attempts.stream().collect(Collectors.groupingBy(attempt -> attempt.part));
    attemptsByPart.forEach(
        (part, partAttempts) -> {
          assertTrue(
              partAttempts.size() <= MAX_ATTEMPTS,
              part + " was attempted " + partAttempts.size() + " times");
          assertEquals(
              partAttempts.stream()
                  .map(attempt -> String.valueOf(attempt.idempotencyKey))
                  .distinct()
                  .count(),
              1,
              part + " changes its idempotency key");
          long span =
              partAttempts.get(partAttempts.size() - 1).startedAtNanos
                  - partAttempts.get(0).startedAtNanos;
          assertTrue(
              partAttempts.get(0).idempotencyKey == null || span <= DEDUP_WINDOW_MS * 1_000_000,
              part + " was retried outside its deduplication window");
          partAttempts.forEach(
              attempt ->
                  assertTrue(
                      attempt.server.hasReplica(attempt.shard),
                      part + " went to " + attempt.server.id + ", which does not hold its shard"));
        });
    assertEquals(violations, List.of());
  }

  void checkRules(String protocol) {
    List<String> recordedViolations;
    synchronized (this) {
      recordedViolations = List.copyOf(violations);
    }
    checkRules(forProtocol(protocol), recordedViolations);
  }
}
