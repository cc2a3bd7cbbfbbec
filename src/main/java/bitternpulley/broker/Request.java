package bitternpulley.broker;

import bitternpulley.routing.Router;
import java.util.List;

/**
 * A request as the core sees it.
 *
 * @param timeLeft ms that its client will still wait
 * @param team whose it is, as its front recognised it; null where no one was
 * @param print tells it from others of its team when it comes again, or 0
 * @param late how late this instance was in taking it, and is with its answers
 */
public record Request(
    long id,
    Dialect dialect,
    int requestClass,
    double timeLeft,
    boolean retry,
    Router.Terms terms,
    List<Slice> slices,
    Payload payload,
    String team,
    long print,
    Router.Lateness late) {

  /** A request of nobody in particular. */
  public Request(
      long id,
      Dialect dialect,
      int requestClass,
      double timeLeft,
      boolean retry,
      Router.Terms terms,
      List<Slice> slices,
      Payload payload) {
    this(
        id,
        dialect,
        requestClass,
        timeLeft,
        retry,
        terms,
        slices,
        payload,
        null,
        0,
        Router.Lateness.NONE);
  }

  /**
   * A part of a request: the shard it needs, its share of the whole and its guessed work (0 where
   * none is told).
   */
  public record Slice(int shard, double weight, double work) {}
}
