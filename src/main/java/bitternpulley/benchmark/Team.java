package bitternpulley.benchmark;

import bitternpulley.net.EventLoop;
import bitternpulley.net.HostPort;
import bitternpulley.net.HttpClient;
import java.nio.ByteBuffer;
import java.util.Random;
import java.util.function.IntFunction;

/**
 * One team's clients: queries at times drawn ahead, whatever becomes of those before, each counted
 * from the time it was meant to be sent. A refused query is tried again, at once or at the time
 * that its answer names; it is served if any try is.
 */
final class Team {
  /** How refused clients behave. */
  enum Manners {
    AT_ONCE,
    AS_TOLD,
    HALF_AND_HALF
  }

  private static final int MOST_TRIES = 3;
  private static final int MOST_CONNECTIONS = 400;
  private static final int MOST_BODY = 64 * 1024;

  /** What was counted, by the second of the day in which the query was meant to be sent. */
  static final class Tally {
    final double[] asked;
    final double[] inTime;
    int tries;
    int queries;
    int toldToReturn;
    int returned;
    int returnedServed;
    int partsServed;

    /** The first second that counts. */
    final int warm;

    Tally(int seconds, int warm) {
      this.warm = warm;
      asked = new double[seconds];
      inTime = new double[seconds];
    }

    double sum(double[] of, int from, int to) {
      double sum = 0;
      for (int i = Math.max(0, from); i < Math.min(to, of.length); i++) {
        sum += of[i];
      }
      return sum;
    }
  }

  private final EventLoop loop;
  private final HttpClient client;
  private final HostPort to;
  private final Random random;
  private final double perSecond;
  private final int parts;
  private final Manners manners;
  private final double aim;
  private final double deadline;
  private final IntFunction<String> request;
  private final Tally tally;
  private double start;
  private double end;
  private double next;
  private int count;

  /** {@code request} words the n-th query; the same query is worded alike at each try. */
  Team(
      EventLoop loop,
      HostPort to,
      long seed,
      double perSecond,
      int parts,
      Manners manners,
      double aim,
      double deadline,
      int seconds,
      int warm,
      IntFunction<String> request) {
    this.loop = loop;
    this.client = new HttpClient(loop, MOST_BODY, MOST_CONNECTIONS, 1000, 2000);
    this.to = to;
    this.random = new Random(seed);
    this.perSecond = perSecond;
    this.parts = parts;
    this.manners = manners;
    this.aim = aim;
    this.deadline = deadline;
    this.request = request;
    this.tally = new Tally(seconds, warm);
  }

  private static double now() {
    return System.nanoTime() / 1e6;
  }

  /** Begins to send, until as many seconds are over as the tally has. */
  void begin() {
    loop.execute(
        () -> {
          start = now();
          end = start + 1000.0 * tally.asked.length;
          next = start + gap();
          arrive();
        });
  }

  Tally tally() {
    return tally;
  }

  private double gap() {
    return -Math.log(1 - random.nextDouble()) * 1000 / perSecond;
  }

  private void arrive() {
    while (next <= now() && next < end) {
      int n = count++;
      int second = (int) ((next - start) / 1000);
      tally.queries++;
      tally.asked[second]++;
      attempt(n, second, next, 1, false);
      next += gap();
    }
    if (next < end) {
      loop.after(Math.max(0, next - now()), this::arrive);
    }
  }

  private void attempt(int n, int second, double meant, int tries, boolean asTold) {
    tally.tries++;
    HttpClient.Call call =
        client.send(
            to,
            ByteBuffer.wrap(request.apply(n).getBytes()),
            new HttpClient.ResponseHandler() {
              @Override
              public void response(HttpClient.Response r) {
                if (r.status() == 200) {
                  tally.inTime[second] += now() - meant <= aim ? 1 : 0;
                  tally.partsServed += parts;
                  tally.returnedServed += asTold && second >= tally.warm ? 1 : 0;
                } else if (r.status() == 429 || r.status() == 503) {
                  refused(n, second, meant, tries, r.head().header("Retry-After"));
                }
              }

              @Override
              public void failed(HttpClient.Failure how, String why) {
                // Not served, and not asked again: it may have run.
              }
            });
    tally.returned += asTold && call != null && second >= tally.warm ? 1 : 0;
    if (call == null) {
      refused(n, second, meant, tries, null);
    }
  }

  private void refused(int n, int second, double meant, int tries, String after) {
    boolean polite = manners == Manners.AS_TOLD || manners == Manners.HALF_AND_HALF && n % 2 == 0;
    if (tries >= MOST_TRIES || polite && after == null) {
      return;
    }
    double pause = polite ? 1000 * Double.parseDouble(after) : 0;
    tally.toldToReturn += polite ? 1 : 0;
    if (now() + pause < meant + deadline) {
      loop.after(pause, () -> attempt(n, second, meant, tries + 1, polite));
    }
  }
}
