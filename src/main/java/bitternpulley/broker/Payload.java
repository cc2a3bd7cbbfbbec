package bitternpulley.broker;

/** What a wire attaches to a request or an outcome; the core hands it on and never looks inside. */
public interface Payload {}
