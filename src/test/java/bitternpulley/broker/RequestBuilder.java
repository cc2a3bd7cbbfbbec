package bitternpulley.broker;

import bitternpulley.routing.Router;
import java.util.List;
import java.util.stream.IntStream;

/** Builds a request for tests. By default it has one part, the terms of its class and no delay. */
final class RequestBuilder {
  private final long id;
  private ProtocolAdapter protocolAdapter = null;
  private double timeLeft = 3000;
  private Router.Terms terms = Router.Terms.CLASS_DEFAULT;
  private List<Request.QueryPart> parts = List.of(new Request.QueryPart(0, 1, 0));
  private Router.Lateness lateness = Router.Lateness.NONE;

  RequestBuilder(long id) {
    this.id = id;
  }

  RequestBuilder protocolAdapter(ProtocolAdapter value) {
    protocolAdapter = value;
    return this;
  }

  RequestBuilder timeLeft(double value) {
    timeLeft = value;
    return this;
  }

  RequestBuilder terms(Router.Terms value) {
    terms = value;
    return this;
  }

  /** Sets one part for each of these shards, all of the same weight. */
  RequestBuilder shards(int... shards) {
    parts =
        IntStream.of(shards)
            .mapToObj(shard -> new Request.QueryPart(shard, 1.0 / shards.length, 0))
            .toList();
    return this;
  }

  RequestBuilder lateness(Router.Lateness value) {
    lateness = value;
    return this;
  }

  Request build() {
    return new Request(
        id, protocolAdapter, 0, timeLeft, false, terms, parts, null, null, 0, lateness);
  }
}
