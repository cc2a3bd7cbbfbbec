package bitternpulley.broker;

import bitternpulley.routing.Router;
import java.util.List;

/**
 * A request as the core sees it.
 *
 * @param id unique within this process
 * @param protocolAdapter sends its attempts and delivers its answer
 * @param queryClass the position of its query class in the settings
 * @param timeLeft ms for which its client waits
 * @param retry whether the client marked it as a retry
 * @param terms requirements of the client in addition to those of the query class
 * @param parts its parts; attempts and answers refer to them by position
 * @param payload data that the protocol adapter needs to send and answer the request
 * @param team the team identified for the request; null if none was identified
 * @param fingerprint identifies the query among those of its team when it is sent again; 0 if
 *     unknown
 * @param lateness the delay of this instance in reading the request and in sending the answer
 */
public record Request(
    long id,
    ProtocolAdapter protocolAdapter,
    int queryClass,
    double timeLeft,
    boolean retry,
    Router.Terms terms,
    List<QueryPart> parts,
    Payload payload,
    String team,
    long fingerprint,
    Router.Lateness lateness) {

  /** Creates a request that has no team and was read without delay. */
  public Request(
      long id,
      ProtocolAdapter protocolAdapter,
      int queryClass,
      double timeLeft,
      boolean retry,
      Router.Terms terms,
      List<QueryPart> parts,
      Payload payload) {
    this(
        id,
        protocolAdapter,
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
   * @param estimatedWork its estimated work; 0 if none is given
   */
  public record QueryPart(int shard, double weight, double estimatedWork) {}
}
