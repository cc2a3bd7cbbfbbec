package bitternpulley.membership;

/**
 * Descriptive texts that a member announces when it starts. Each text is cut to {@link #MAX_LENGTH}
 * characters, and characters outside printable ASCII are replaced, so that all fit in a datagram.
 *
 * @param name the instance's name
 * @param zone the instance's zone
 * @param region the instance's region
 * @param build version of the program that the instance runs
 */
public record MemberMetadata(String name, String zone, String region, String build) {
  static final int MAX_LENGTH = 24;

  /** Maximum total size of the length headers of the four texts. */
  private static final int MAX_HEADER_BYTES = 9;

  /** Shortens the texts and replaces characters, so that they fit in a datagram. */
  public MemberMetadata {
    name = toPrintable(name);
    zone = toPrintable(zone);
    region = toPrintable(region);
    build = toPrintable(build);
  }

  /** The maximum number of bytes that the metadata occupies in a datagram. */
  int maxEncodedBytes() {
    return MAX_HEADER_BYTES + name.length() + zone.length() + region.length() + build.length();
  }

  private static String toPrintable(String text) {
    return (text.length() <= MAX_LENGTH ? text : text.substring(0, MAX_LENGTH))
        .replaceAll("[^ -~]", "?");
  }
}
