package bitternpulley.policy;

import bitternpulley.routing.Router;

/** This process's share of the instance's limits, which two processes divide at a hot restart. */
final class ProcessShare {
  /** Share of a process whose successor has taken over. */
  private static final double LEAVING = 0.2;

  private double value = 1;

  /** The share, from 0 to 1. */
  double value() {
    return value;
  }

  /** Sets the share by the role of the other process. */
  void divideWith(Router.HotRestartRole other) {
    value =
        switch (other) {
          case NONE -> 1;
          case SUCCESSOR -> LEAVING;
          case PREDECESSOR -> 1 - LEAVING;
        };
  }
}
