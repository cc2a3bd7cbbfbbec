package bitternpulley.broker;

/** A payload that tests recognise. */
record TestValue(String text) implements Payload {}
