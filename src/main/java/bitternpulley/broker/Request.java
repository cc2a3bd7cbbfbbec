package bitternpulley.broker;

import bitternpulley.routing.Router;
import java.util.List;

/**
 * A request as the core sees it.
 *
 * @param timeLeft ms that its client will still wait
 * @param team whose it is, as its front recognised it; null where no one was
 * @param fingerprint tells it from others of its team when it comes again, or 0
 * @param lateness how late this instance was in taking it, and is with its answers
 */
public record Request(
    long id,
    Dialect dialect,
    int queryClass,
    double timeLeft,
    boolean retry,
    Router.Terms terms,
    List<QueryPart> parts,
    Payload payload,
    String team,
    long fingerprint,
    Router.Lateness lateness) {

  /** A request of nobody in particular. */
  public Request(
      long id,
      Dialect dialect,
      int requestClass,
      double timeLeft,
      boolean retry,
      Router.Terms terms,
      List<QueryPart> slices,
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
  public record QueryPart(int shard, double weight, double estimatedWork) {}
}
