package bitternpulley.admin;

import java.io.IOException;

/** Thrown if the overrides file has content that this program cannot have written. */
final class UnreadableOverridesException extends IOException {
  private static final long serialVersionUID = 1L;

  UnreadableOverridesException(String message) {
    super(message);
  }
}
