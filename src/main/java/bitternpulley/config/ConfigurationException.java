package bitternpulley.config;

/** A setting or field that cannot be used; the message names the key. */
public final class ConfigurationException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  public ConfigurationException(String message) {
    super(message);
  }
}
