package bitternpulley.broker;

/** What a dialect attaches to a request or an outcome; the core passes it on unread. */
public interface Payload {}
