package bitternpulley.trace;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.stream.Collectors;

/** SHA-256 digest of lines that consist of fixed words and exact numbers. */
public final class TraceDigest {
  private final MessageDigest digest;
  private int lines;

  public TraceDigest() {
    try {
      digest = MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new AssertionError(e);
    }
  }

  /** Adds a line. A double is included with all of its bits. */
  public void add(Object... words) {
    String line =
        Arrays.stream(words)
            .map(w -> w instanceof Double number ? Double.toHexString(number) : String.valueOf(w))
            .collect(Collectors.joining(" "));
    digest.update((line + "\n").getBytes(StandardCharsets.UTF_8));
    lines++;
  }

  /**
   * Ends the digest and returns the number of lines and the first 12 bytes of the digest in
   * hexadecimal.
   */
  public String finish() {
    return lines + " " + HexFormat.of().formatHex(digest.digest(), 0, 12);
  }
}
