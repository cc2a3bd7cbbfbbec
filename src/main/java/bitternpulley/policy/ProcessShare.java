package bitternpulley.policy;

import bitternpulley.routing.Router;

/**
 * This process's share of the limits of its instance. During a hot restart, the old and the new
 * process divide the limits between them.
 */
final class ProcessShare {
  /** Share of the old process once its successor has taken over. */
  private static final double PREDECESSOR_SHARE = 0.2;

  private double value = 1;

  /** The share, from 0 to 1. */
  double value() {
    return value;
  }

  /** Sets the share by the role of the other process, if there is one. */
  void setOtherProcess(Router.HotRestartRole otherRole) {
    value =
        switch (otherRole) {
          case NONE -> 1;
          case SUCCESSOR -> PREDECESSOR_SHARE;
          case PREDECESSOR -> 1 - PREDECESSOR_SHARE;
        };
  }
}
