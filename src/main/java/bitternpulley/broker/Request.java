package bitternpulley.broker;

import bitternpulley.policy.Router;
import java.util.List;

/** A request as the core sees it; {@code timeLeft} is what its client will still wait. */
public record Request(
    long id, Dialect dialect, int requestClass, double timeLeft, boolean retry, Router.Terms terms,
    List<Slice> slices, Payload payload) {

  /** A part of a request: the shard it needs, its share of the whole and its guessed work (0 where none is told). */
  public record Slice(int shard, double weight, double work) {}
}
