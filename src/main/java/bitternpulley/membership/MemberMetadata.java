package bitternpulley.membership;

/**
 * Descriptive texts that a member announces when it starts. Each is cut to {@link #MAX_LENGTH}
 * characters, and characters outside printable ASCII are replaced, so that it fits a datagram.
 *
 * @param name the instance's name
 * @param zone its zone
 * @param region its region
 * @param build version of its program
 */
public record MemberMetadata(String name, String zone, String region, String build) {
  static final int MAX_LENGTH = 24;

  /** Length headers of the four texts, at the most. */
  private static final int MAX_HEADER_BYTES = 9;

  /** Makes the texts fit a datagram, whatever was configured. */
  public MemberMetadata {
    name = toPrintable(name);
    zone = toPrintable(zone);
    region = toPrintable(region);
    build = toPrintable(build);
  }

  /** The most bytes that it takes in a datagram. */
  int maxEncodedBytes() {
    return MAX_HEADER_BYTES + name.length() + zone.length() + region.length() + build.length();
  }

  private static String toPrintable(String text) {
    return (text.length() <= MAX_LENGTH ? text : text.substring(0, MAX_LENGTH))
        .replaceAll("[^ -~]", "?");
  }
}
