package bitternpulley.contracts;

import bitternpulley.routing.Router;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Builds contracts for tests. By default they have no guaranteed quota, borrow and lend, and their
 * other limits are never reached.
 */
public final class ContractBuilder {
  private final String id;
  private double guaranteedQuota;
  private double ceiling = 1;
  private double burst = 500;
  private boolean borrows = true;
  private boolean lends = true;
  private double retriesPerPart = 0.2;
  private double clientRetries = 100;
  private int maxPending = 100_000;
  private final Map<Integer, Router.ClassTerms> classes = new LinkedHashMap<>();

  private ContractBuilder(String id) {
    this.id = id;
  }

  public static ContractBuilder contract(String id) {
    return new ContractBuilder(id);
  }

  public ContractBuilder guaranteedQuota(double value) {
    guaranteedQuota = value;
    return this;
  }

  public ContractBuilder ceiling(double value) {
    ceiling = value;
    return this;
  }

  public ContractBuilder burst(double value) {
    burst = value;
    return this;
  }

  public ContractBuilder borrows(boolean value) {
    borrows = value;
    return this;
  }

  public ContractBuilder lends(boolean value) {
    lends = value;
    return this;
  }

  public ContractBuilder retriesPerPart(double value) {
    retriesPerPart = value;
    return this;
  }

  public ContractBuilder clientRetries(double value) {
    clientRetries = value;
    return this;
  }

  public ContractBuilder maxPending(int value) {
    maxPending = value;
    return this;
  }

  public ContractBuilder queryClass(int queryClass, Router.ClassTerms terms) {
    classes.put(queryClass, terms);
    return this;
  }

  public Contract build() {
    return new Contract(
        id,
        guaranteedQuota,
        ceiling,
        burst,
        borrows,
        lends,
        retriesPerPart,
        clientRetries,
        maxPending,
        classes);
  }
}
