package arrowford.platform;

import arrowford.broker.Payload;

/** The value of a part as a slot server gave it. */
record PartValue(byte[] bytes) implements Payload {}
