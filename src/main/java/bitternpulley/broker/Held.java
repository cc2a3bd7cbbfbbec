package bitternpulley.broker;

import bitternpulley.contracts.Charge;
import bitternpulley.routing.Router;
import java.util.TreeMap;

/** What the reducer holds of requests, their parts and the attempts that are out. Plain state: {@link Reducer} changes it. */
final class Held {
  private Held() {}

  /** A request without a final answer. */
  static final class Open {
    final Request request;
    /** Null where no contracts are in force. */
    final Charge charge;
    final double endsAt;
    /** From when on an end without an answer counts as out of time. */
    final double lateFrom;
    final long firstPart;
    final TreeMap<Integer, Payload> values = new TreeMap<>();
    /** When an attempt of it is looked at for being overdue. */
    double overdueAt = Double.POSITIVE_INFINITY;

    Open(Request request, Charge charge, double endsAt, double lateFrom, long firstPart) {
      this.lateFrom = lateFrom;
      this.request = request;
      this.charge = charge;
      this.endsAt = endsAt;
      this.firstPart = firstPart;
    }
  }

  /** A part lives until its request is over and none of its attempts is out. */
  static final class Part {
    final Open open;
    final int slice;
    int sent;
    Out out;
    boolean mayHaveRun;
    /** When the first attempt that may have run was sent. */
    double mayRunFrom = Double.POSITIVE_INFINITY;
    Effect.Answer.Missing last = new Effect.Answer.Missing(null, null, null);

    Part(Open open, int slice) {
      this.open = open;
      this.slice = slice;
    }
  }

  /** The attempt of a part that is out. */
  static final class Out {
    final AttemptId id;
    final String server;
    final double sentAt;
    final double dueAt;
    Router.Outcome given;

    Out(AttemptId id, String server, double sentAt, double dueAt) {
      this.id = id;
      this.server = server;
      this.sentAt = sentAt;
      this.dueAt = dueAt;
    }
  }
}
