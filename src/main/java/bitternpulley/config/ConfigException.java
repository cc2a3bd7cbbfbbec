package bitternpulley.config;

/** A setting or field that cannot be used; the message names the key. */
public final class ConfigException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  public ConfigException(String message) {
    super(message);
  }
}
