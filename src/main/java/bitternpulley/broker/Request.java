package bitternpulley.broker;

import bitternpulley.routing.Router;
import java.util.List;

/**
 * A request as the core sees it.
 *
 * @param id unique within this process
 * @param dialect sends its attempts and delivers its answer
 * @param queryClass the position of its query class in the settings
 * @param timeLeft ms that its client will still wait
 * @param retry whether its client sent it before
 * @param terms what the client asks for beyond its class
 * @param parts its parts; attempts and answers refer to them by position
 * @param payload what the dialect needs to send and answer it
 * @param team the team identified for it; null where none was
 * @param fingerprint tells it from other queries of its team when it comes again; 0 where unknown
 * @param lateness how late this instance was in reading it, and is with its answers
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

  /** Creates a request without a team, read on time. */
  public Request(
      long id,
      Dialect dialect,
      int queryClass,
      double timeLeft,
      boolean retry,
      Router.Terms terms,
      List<QueryPart> parts,
      Payload payload) {
    this(
        id,
        dialect,
        queryClass,
        timeLeft,
        retry,
        terms,
        parts,
        payload,
        null,
        0,
        Router.Lateness.NONE);
  }

  /** The estimated work of all parts together. */
  double estimatedWork() {
    return parts.stream().mapToDouble(QueryPart::estimatedWork).sum();
  }

  /**
   * A part of a request.
   *
   * @param shard the shard that answers it
   * @param weight its share of the complete answer
   * @param estimatedWork its estimated work; 0 where none is given
   */
  public record QueryPart(int shard, double weight, double estimatedWork) {}
}
