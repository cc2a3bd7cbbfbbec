package bitternpulley.broker;

/**
 * Data that a protocol adapter attaches to a request or an outcome; the core does not interpret it.
 */
public interface Payload {}
