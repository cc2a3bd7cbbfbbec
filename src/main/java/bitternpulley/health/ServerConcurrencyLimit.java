package bitternpulley.health;

import java.util.ArrayDeque;

/**
 * How many parts of this instance a server has room for. Guards against a queue that is full of
 * parts which nobody awaits: a server goes on with what was called off, so that counts until a part
 * sent later is answered.
 */
public final class ServerConcurrencyLimit {
  private static final double FIRST = 32;
  private static final double LEAST = 1;

  /**
   * What a refusal for a full queue, and an answer that took long, leave of the room; what a timely
   * answer adds.
   */
  private static final double LOSS_FULL = 0.5;

  private static final double LOSS_LONG = 0.9;
  private static final double GAIN = 0.25;

  /** Ms between losses: what was sent at once is refused at once. */
  private static final double PAUSE = 50;

  /** Ms after which a part called off counts no more, and the most of them that are kept. */
  private static final double FORGET = 2000;

  private static final int MOST_KEPT = 64;

  /** Share of the room for parts that can wait. */
  private static final double LOW_SHARE = 0.5;

  private final ArrayDeque<Double> calledOff = new ArrayDeque<>();
  private double room = FIRST;
  private double lostAt = Double.NEGATIVE_INFINITY;

  /** Whether one more is to be sent beside so many that are out. */
  public boolean takes(int out, boolean canWait, double now) {
    while (!calledOff.isEmpty() && calledOff.peek() < now - FORGET) {
      calledOff.poll();
    }
    // Guards against a server left idle till the last part called off is forgotten, as nothing
    // later can clear it.
    return out == 0 && !canWait
        || out + calledOff.size() < (canWait ? LOW_SHARE * (room - 1) : room);
  }

  /**
   * When there may be room next, where there is none now: at any moment while parts are out there,
   * as each answer makes some; else once what was called off is forgotten, or never.
   */
  public double opensAt(int out, boolean canWait, double now) {
    if (out > 0 || takes(out, canWait, now)) {
      return now;
    }
    return LOW_SHARE * (room - 1) > 0 ? calledOff.peek() + FORGET : Double.POSITIVE_INFINITY;
  }

  /** Turned away since the queue is full, with so many others out. */
  public void full(int out, double now) {
    lose(Math.min(room, out + calledOff.size()) * LOSS_FULL, now);
  }

  /** Answered, in good time or not. */
  public void answered(double sent, boolean timely, int out, double now) {
    // First in, first out: what was called off before this one was sent has had its turn.
    calledOff.removeIf(t -> t <= sent);
    if (!timely) {
      lose(room * LOSS_LONG, now);
    } else if (2 * (out + calledOff.size() + 1) >= room) {
      room += GAIN;
    }
  }

  /** Called off or timed out: the server may work on it all the same. */
  public void left(double sent) {
    calledOff.add(sent);
    if (calledOff.size() > MOST_KEPT) {
      calledOff.poll();
    }
  }

  private void lose(double left, double now) {
    if (now >= lostAt + PAUSE) {
      lostAt = now;
      room = Math.max(LEAST, left);
    }
  }

  /** A new process has nothing of the old one's queue. */
  public void forget() {
    calledOff.clear();
    room = FIRST;
  }
}
