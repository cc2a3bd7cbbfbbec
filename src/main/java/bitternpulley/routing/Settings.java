package bitternpulley.routing;

import java.util.List;

/**
 * What an instance is told at its start. Nothing here is chosen by the project; absent optional
 * figures are off.
 */
public record Settings(
    int self,
    int instances,
    int zone,
    double tick,
    boolean listOnRequest,
    boolean marksRetry,
    List<QueryClass> classes,
    List<Tenant> tenants,
    double overShareWorth,
    boolean worthByWork,
    Layout layout,
    Limits limits,
    Rules rules,
    Prices prices) {

  /** The same for a program that deals with what has come in no more often than so. */
  public Settings withTickOfAtLeast(double least) {
    return new Settings(
        self,
        instances,
        zone,
        Math.max(tick, least),
        listOnRequest,
        marksRetry,
        classes,
        tenants,
        overShareWorth,
        worthByWork,
        layout,
        limits,
        rules,
        prices);
  }

  /**
   * The same for a caller that carries one attempt of a part at a time, whatever the site permits.
   */
  public Settings withoutCopies() {
    return new Settings(
        self,
        instances,
        zone,
        tick,
        listOnRequest,
        marksRetry,
        classes,
        tenants,
        overShareWorth,
        worthByWork,
        layout,
        limits.withoutCopies(),
        rules,
        prices);
  }

  /** What a class lets happen to a part that may have run before. */
  public enum Effect {
    SAFE,
    KEYED,
    UNSAFE
  }

  /** A class of queries; fractions are of a step's weight, times are in milliseconds. */
  public record QueryClass(
      String name,
      double worth,
      double aim,
      double aimStretch,
      double deadline,
      double lateWorth,
      Effect effect,
      double dedupWindow,
      boolean stream,
      double leastShare,
      double wholeShare,
      double partialWorth,
      int secondStep) {

    /** Whether an answer from less than the whole may be given. */
    public boolean mayAnswerInPart() {
      return leastShare < wholeShare;
    }

    /** The same class as a contract has it. */
    public QueryClass under(Router.ClassTerms agreed) {
      return new QueryClass(
          name,
          agreed.worth(),
          agreed.aim(),
          aimStretch,
          agreed.deadline(),
          lateWorth,
          effect,
          dedupWindow,
          stream,
          Math.min(wholeShare, agreed.leastShare()),
          wholeShare,
          partialWorth,
          secondStep);
    }

    /** The same class for a client that takes no answer in part. */
    public QueryClass wholeOnly() {
      return new QueryClass(
          name,
          worth,
          aim,
          aimStretch,
          deadline,
          lateWorth,
          effect,
          dedupWindow,
          stream,
          wholeShare,
          wholeShare,
          partialWorth,
          secondStep);
    }
  }

  /** A tenant and the fraction of the service allotted to it. */
  public record Tenant(String name, double share, double perSecond) {}

  /**
   * Where shards lie: shard s is held by cells s to s + width - 1, counted around the ring. Up to
   * {@code bundle} parts share a call, which costs its server {@code callWork} ms beside the work
   * of the parts.
   */
  public record Layout(int shards, int cells, int width, int bundle, double callWork) {
    /** A layout in which calls cost nothing by themselves. */
    public Layout(int shards, int cells, int width, int bundle) {
      this(shards, cells, width, bundle, 0);
    }
  }

  /** What the site permits. */
  public record Limits(
      int maxAttempts,
      int maxOpen,
      boolean cancel,
      boolean copies,
      boolean probes,
      boolean advice,
      double maxAdvice,
      double connectTimeout) {

    Limits withoutCopies() {
      return new Limits(
          maxAttempts, maxOpen, cancel, false, probes, advice, maxAdvice, connectTimeout);
    }
  }

  /**
   * The figures of the rules; {@code budgeted} tells whether further attempts are rationed at all.
   */
  public record Rules(
      double answerSlack,
      double drainGrace,
      double coldFrom,
      double coldTime,
      double tipMultiple,
      double tipWindow,
      boolean budgeted,
      double extraFloor,
      double extraShare,
      double extraWindow,
      double askWithin) {}

  /** What the site charges, in shares of the result. */
  public record Prices(
      double crossZone,
      double waste,
      double lateFail,
      double connection,
      double probe,
      double handshake) {}
}
