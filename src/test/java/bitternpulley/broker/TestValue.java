package bitternpulley.broker;

/** A payload with a text by which tests identify it. */
record TestValue(String text) implements Payload {}
