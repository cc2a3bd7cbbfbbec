package bitternpulley.broker;

/**
 * Identifies an attempt.
 *
 * @param part the id of its part
 * @param number its number within the part, from 0
 */
public record AttemptId(long part, int number) {}
