package bitternpulley.broker;

/** Data that a dialect attaches to a request or an outcome; the core does not interpret it. */
public interface Payload {}
