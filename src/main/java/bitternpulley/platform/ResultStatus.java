package bitternpulley.platform;

import bitternpulley.routing.Router.Outcome;

/** The status of a part in the result of a slot server, each with its code on the wire. */
enum ResultStatus {
  /** The part was answered; its value follows. */
  SERVED("S", Outcome.OK),
  /** The part failed and may have run. */
  ERROR("E", Outcome.ERROR),
  /** The part was rejected and never ran. */
  REJECTED("B", Outcome.REJECTED);

  private static final ResultStatus[] VALUES = values();

  private final String code;
  private final Outcome outcome;

  ResultStatus(String code, Outcome outcome) {
    this.code = code;
    this.outcome = outcome;
  }

  String code() {
    return code;
  }

  /** The outcome of an attempt that ended with this status. */
  Outcome outcome() {
    return outcome;
  }

  /** Returns the status with this code, or null if there is none. */
  static ResultStatus ofCode(String code) {
    for (ResultStatus status : VALUES) {
      if (status.code.equals(code)) {
        return status;
      }
    }
    return null;
  }
}
