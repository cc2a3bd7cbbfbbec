package bitternpulley.platform;

/** The types of frames in the protocol with slot servers, each with its code on the wire. */
enum FrameType {
  /** One or more parts to answer, as one call. */
  CALL('1'),
  /** The cancellation of one part. */
  CANCEL('2'),
  /** A health check, or the answer to one. */
  HEALTH_CHECK('3'),
  /** A request for a load report, or the report. */
  LOAD_REQUEST('4'),
  /** The result of one part. */
  RESULT('5'),
  /** An error report: the slot server could not use the last frame and closes the connection. */
  PROTOCOL_ERROR('X');

  private static final FrameType[] VALUES = values();

  private final char typeCode;

  FrameType(char typeCode) {
    this.typeCode = typeCode;
  }

  char typeCode() {
    return typeCode;
  }

  /** Returns the type with this code, or null if there is none. */
  static FrameType ofTypeCode(char typeCode) {
    for (FrameType type : VALUES) {
      if (type.typeCode == typeCode) {
        return type;
      }
    }
    return null;
  }
}
