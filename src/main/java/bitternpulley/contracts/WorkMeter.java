package bitternpulley.contracts;

/**
 * What parts cost, in standard parts: one is what the average part takes at the time. Nobody tells
 * the work of a part; an answer's time is work and queueing, and the queueing is everyone's. So a
 * part costs its time by the usual time of that moment: in a jam all times grow and costs stay, and
 * a part of nine times the usual work is charged as nine.
 */
final class WorkMeter {
  /** Weight of a new answer in the usual time and in a class's cost: the last 50 or so speak. */
  private static final double SMOOTHING = 0.02;

  /** Times the usual that one answer counts as at most, in the usual time and in its own cost. */
  private static final double OUTLIER = 4;

  private static final double MOST = 50;

  private double usual;
  private final double[] classCost;
  private final double[] classHint;

  WorkMeter(int classes) {
    classCost = new double[classes];
    classHint = new double[classes];
    java.util.Arrays.fill(classCost, 1);
  }

  /** Standard parts that a query is likely to take. */
  double estimate(AdmissionRequest claim) {
    double cost = classCost[claim.queryClass()];
    double hint = claim.hintedWork() / claim.parts();
    double usualHint = classHint[claim.queryClass()];
    if (hint > 0) {
      classHint[claim.queryClass()] =
          usualHint == 0 ? hint : usualHint + SMOOTHING * (hint - usualHint);
      cost *= usualHint == 0 ? 1 : Math.min(MOST, hint / usualHint);
    }
    return claim.parts() * cost;
  }

  /** Standard parts that one attempt is likely to take where nothing else is known. */
  double estimate(int queryClass) {
    return classCost[queryClass];
  }

  /** An answer came after so many ms: what its part cost. */
  double answered(int queryClass, double took) {
    usual = usual == 0 ? took : usual + SMOOTHING * (Math.min(took, OUTLIER * usual) - usual);
    double cost = usual <= 0 ? 1 : Math.min(MOST, took / usual);
    classCost[queryClass] +=
        SMOOTHING * (Math.min(cost, OUTLIER * classCost[queryClass]) - classCost[queryClass]);
    return cost;
  }
}
