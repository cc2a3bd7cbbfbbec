package bitternpulley.platform;

import bitternpulley.broker.Payload;

/** The value of a part as a slot server gave it. */
record PartValue(byte[] bytes) implements Payload {}
