package bitternpulley.membership;

/**
 * What a member says of itself, told while it is new. Each text has at most {@link #MAX_LENGTH}
 * characters, all of ASCII.
 */
public record MemberMetadata(String name, String zone, String region, String build) {
  static final int MAX_LENGTH = 24;

  /** Guards against texts that would not fit a datagram, whoever configured them. */
  public MemberMetadata {
    name = cut(name);
    zone = cut(zone);
    region = cut(region);
    build = cut(build);
  }

  /** Bytes that it takes in a datagram, at the most. */
  int bytes() {
    return 9 + name.length() + zone.length() + region.length() + build.length();
  }

  private static String cut(String text) {
    return (text.length() <= MAX_LENGTH ? text : text.substring(0, MAX_LENGTH))
        .replaceAll("[^ -~]", "?");
  }
}
